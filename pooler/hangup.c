#include "hangup.h"

#include "caller.h"

#define LOG_MODULE "hangup"
#include "counter.h"
#include "log.h"

/*
 * A session without a statement for so long rests: one that has just come, or was just refused, is
 * about to send, and a statement that crosses our close looks lost to its sender.
 */
#define REST (400 * USEC_PER_MSEC)
/* An answer leaves within two ticks (50 ms each); one that has not is not being read. */
#define ANSWER_LEAVES (100 * USEC_PER_MSEC)

typedef enum {
	END_SHUTDOWN,
	END_CUT,
	END_NO_PERMISSION,
	END_NOT_READING,
	END_KEY_TAKEN,
} end_reason_t;

static const char *const reasons[] = {
	[END_SHUTDOWN] = "shutdown",	       [END_CUT] = "transaction_cut",
	[END_NO_PERMISSION] = "no_permission", [END_NOT_READING] = "caller_does_not_read",
	[END_KEY_TAKEN] = "key_taken",
};

static const char *const outcomes[] = {
	[CLOSE_DONE] = "closed",
	[CLOSE_UNREAD] = "unread",
	[CLOSE_PART] = "part_of_a_statement",
	[CLOSE_UNSENT] = "unsent",
};

COUNTER_GRID_DEFINE(ended_total, "caller_sessions_ended_total", "reason", reasons, "outcome",
		    outcomes,
		    "Sessions to be closed by us: closed, or kept for what is under way.");

static void report(const caller_t *caller, end_reason_t reason, close_result_t result)
{
	counter_grid_add(&ended_total, reason, result);
	/* Behind each answer of a shutdown: it is closed as soon as the answer has left. */
	if (result == CLOSE_UNSENT)
		return;
	LOG_EVENT(LOG_INFO, "session ends", LOG_STR("reason", reasons[reason]),
		  LOG_STR("outcome", outcomes[result]), LOG_STR("database", caller->database),
		  LOG_INT("idle_ms", (int64_t)((now_of(caller->pooler) - caller->idle_since) /
					       USEC_PER_MSEC)));
}

/*
 * What the caller would see otherwise: its whole request gets neither an answer nor a refusal. On a
 * busy VM the loop may be 0.3 s late, and a session that looks idle here has a request in the
 * socket's buffer, sent long before the close. The link closes only if nothing is under way, in the
 * same step as it looks; else the request is answered first, and the session ends behind that
 * answer or with a later tick.
 */
static bool hang_up(caller_t *caller, end_reason_t reason)
{
	env_t *env = caller->pooler->env;
	close_result_t result = CLOSE_DONE;

	/* A session that stands for another proxy's has no link of its own. */
	if (caller->job == NULL) {
		result = env->ops->caller_close(env, caller->link);
		report(caller, reason, result);
	}
	if (result != CLOSE_DONE)
		return false;
	caller_on_session_end(caller);
	return true;
}

/*
 * A caller that does not read its answer, or never sends the rest of a statement, would keep the
 * shutdown from its end: the process would be killed, and the callers whose statements are still in
 * progress would get no answer.
 */
static bool give_up(caller_t *caller)
{
	env_t *env = caller->pooler->env;
	close_result_t result = env->ops->caller_close(env, caller->link);

	if (result == CLOSE_UNREAD ||
	    (result == CLOSE_UNSENT && now_of(caller->pooler) < caller->idle_since + ANSWER_LEAVES))
		return false;
	if (result != CLOSE_DONE)
		env->ops->caller_abort(env, caller->link);
	report(caller, result == CLOSE_UNSENT ? END_NOT_READING : END_SHUTDOWN, CLOSE_DONE);
	caller_on_session_end(caller);
	return true;
}

bool hangup_drain(caller_t *caller, drain_phase_t phase)
{
	caller->closing = true;
	if (caller->busy)
		return false;
	if (phase == DRAIN_ALL && caller->job == NULL)
		return give_up(caller);
	if (caller->tx != TX_NONE)
		return phase != DRAIN_IDLE && hang_up(caller, END_CUT);
	if (caller->served_while_draining || now_of(caller->pooler) >= caller->idle_since + REST)
		return hang_up(caller, END_SHUTDOWN);
	return false;
}

void hangup_after_answer(caller_t *caller)
{
	if (caller->closing && caller->tx == TX_NONE && !caller->busy)
		hangup_drain(caller, DRAIN_IDLE);
}

bool hangup_without_permission(caller_t *caller, usec_t now)
{
	return caller->job == NULL && !caller->busy && caller->tx == TX_NONE &&
	       now >= caller->idle_since + REST && hang_up(caller, END_NO_PERMISSION);
}

bool hangup_key_revoked(caller_t *caller)
{
	return caller->job == NULL && !caller->busy && caller->tx == TX_NONE &&
	       hang_up(caller, END_KEY_TAKEN);
}
