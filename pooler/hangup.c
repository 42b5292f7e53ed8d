#include "hangup.h"

#include "caller.h"

#define LOG_MODULE "hangup"
#include "counter.h"
#include "log.h"

/*
 * Time without a statement after which a session counts as idle. A client that has just connected
 * or was just refused is about to send, and a statement that crosses the close looks lost to it.
 */
#define MIN_IDLE_TIME (400 * USEC_PER_MSEC)
/* An answer is sent within two ticks of 50 ms; if it is not, the caller does not read. */
#define ANSWER_FLUSH_TIME (100 * USEC_PER_MSEC)

typedef enum {
	END_SHUTDOWN,
	END_TX_CUT,
	END_NO_PERMISSION,
	END_NOT_READING,
	END_KEY_REVOKED,
} end_reason_t;

static const char *const reasons[] = {
	[END_SHUTDOWN] = "shutdown",	       [END_TX_CUT] = "transaction_cut",
	[END_NO_PERMISSION] = "no_permission", [END_NOT_READING] = "caller_does_not_read",
	[END_KEY_REVOKED] = "key_taken",
};

static const char *const outcomes[] = {
	[CLOSE_DONE] = "closed",
	[CLOSE_INPUT_UNREAD] = "unread",
	[CLOSE_INPUT_PARTIAL] = "part_of_a_statement",
	[CLOSE_OUTPUT_UNSENT] = "unsent",
};

COUNTER_GRID_DEFINE(
	ended_total, "caller_sessions_ended_total", "reason", reasons, "outcome", outcomes,
	"Attempts of the proxy to close a session: closed, or kept for data in flight.");

static void report_close(const caller_t *caller, end_reason_t reason, close_result_t result)
{
	counter_grid_increment(&ended_total, reason, result);
	/* Not logged: normal after each answer of a shutdown, until the answer has been sent. */
	if (result == CLOSE_OUTPUT_UNSENT)
		return;
	LOG_EVENT(LOG_INFO, "closing session", LOG_STR("reason", reasons[reason]),
		  LOG_STR("outcome", outcomes[result]), LOG_STR("database", caller->database),
		  LOG_INT("idle_ms", (int64_t)((now_of(caller->pooler) - caller->idle_since) /
					       USEC_PER_MSEC)));
}

/*
 * Closes the session unless a request or an answer is in flight. On a busy VM the event loop may
 * run 0.3 s late, and a session that looks idle may have an unread request in the socket buffer. If
 * it were closed, that request would get neither an answer nor a refusal. The link checks and
 * closes in one step; if it refuses, the request is answered first, and the session is closed after
 * the answer or at a later tick.
 */
static bool try_close(caller_t *caller, end_reason_t reason)
{
	env_t *env = caller->pooler->env;
	close_result_t result = CLOSE_DONE;

	/* A caller that serves a forwarded statement has no link to close. */
	if (caller->job == NULL) {
		result = env->ops->caller_close(env, caller->link);
		report_close(caller, reason, result);
	}
	if (result != CLOSE_DONE)
		return false;
	caller_on_session_end(caller);
	return true;
}

/*
 * Closes the session, and aborts its connection if the caller does not read its answer or never
 * sends the rest of a statement. Such a caller would delay the shutdown until the process is
 * killed, and callers whose statements are still in progress would get no answer.
 */
static bool close_or_abort(caller_t *caller)
{
	env_t *env = caller->pooler->env;
	close_result_t result = env->ops->caller_close(env, caller->link);

	if (result == CLOSE_INPUT_UNREAD ||
	    (result == CLOSE_OUTPUT_UNSENT &&
	     now_of(caller->pooler) < caller->idle_since + ANSWER_FLUSH_TIME))
		return false;
	if (result != CLOSE_DONE)
		env->ops->caller_abort(env, caller->link);
	report_close(caller, result == CLOSE_OUTPUT_UNSENT ? END_NOT_READING : END_SHUTDOWN,
		     CLOSE_DONE);
	caller_on_session_end(caller);
	return true;
}

bool hangup_drain(caller_t *caller, drain_phase_t phase)
{
	caller->closing = true;
	if (caller->busy)
		return false;
	if (phase == DRAIN_ALL && caller->job == NULL)
		return close_or_abort(caller);
	if (caller->tx != TX_NONE)
		return phase != DRAIN_IDLE && try_close(caller, END_TX_CUT);
	if (caller->served_while_draining ||
	    now_of(caller->pooler) >= caller->idle_since + MIN_IDLE_TIME)
		return try_close(caller, END_SHUTDOWN);
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
	       now >= caller->idle_since + MIN_IDLE_TIME && try_close(caller, END_NO_PERMISSION);
}

bool hangup_key_revoked(caller_t *caller)
{
	return caller->job == NULL && !caller->busy && caller->tx == TX_NONE &&
	       try_close(caller, END_KEY_REVOKED);
}
