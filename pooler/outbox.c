#include "outbox.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"

#define LOG_MODULE "outbox"
#include "counter.h"
#include "log.h"

/* Between two tries: a link within a region is there after 5 to 15 ms. */
#define RETRY_INTERVAL (4 * USEC_PER_MSEC)
/* By then the proxy has been passed over as not answering, or is gone. */
#define KEPT_FOR (500 * USEC_PER_MSEC)

COUNTER_DEFINE(late_total, "results_sent_late_total", COUNTER_SUM,
	       "Results for another proxy that waited for the link to it.");
COUNTER_DEFINE(lost_total, "results_unsent_total", COUNTER_SUM,
	       "Results for another proxy that never had a link.");

typedef struct unsent {
	list_t node; /* in outbox_t.results */
	char *to;
	char *address;
	bool is_answer;
	forward_result_t result;
	quota_answer_t answer; /* if is_answer */
	usec_t since;
} unsent_t;

void outbox_init(outbox_t *outbox, pooler_t *pooler)
{
	outbox->pooler = pooler;
	list_init(&outbox->pending);
}

void outbox_destroy(outbox_t *outbox)
{
	timers_cancel(outbox->pooler->timers, &outbox->timer);
}

static bool send_now(const outbox_t *outbox, const char *to, const char *address,
		     peer_message_t *message)
{
	const pooler_t *pooler = outbox->pooler;

	exchange_fill(pooler, message);
	return pooler->env->ops->peer_send(pooler->env, to, address, message);
}

static bool send_result(const outbox_t *outbox, const char *to, const char *address,
			const forward_result_t *result)
{
	peer_message_t message = {.kind = PEER_RESULT, .result = result};

	return send_now(outbox, to, address, &message);
}

static bool send_answer(const outbox_t *outbox, const char *to, const char *address,
			const quota_answer_t *answer)
{
	peer_message_t message = {.kind = PEER_TAKEN, .taken = answer};

	return send_now(outbox, to, address, &message);
}

static bool send_again(const outbox_t *outbox, const unsent_t *unsent)
{
	if (unsent->is_answer)
		return send_answer(outbox, unsent->to, unsent->address, &unsent->answer);
	return send_result(outbox, unsent->to, unsent->address, &unsent->result);
}

static void forget(unsent_t *unsent)
{
	list_del(&unsent->node);
	talloc_free(unsent);
}

static void on_retry(run_timer_t *timer, usec_t now)
{
	outbox_t *outbox = list_entry(timer, outbox_t, timer);

	list_for_each_safe (it, &outbox->pending) {
		unsent_t *unsent = list_entry(it, unsent_t, node);

		if (send_again(outbox, unsent)) {
			counter_add(&late_total, 1);
			forget(unsent);
		} else if (now >= unsent->since + KEPT_FOR) {
			counter_add(&lost_total, 1);
			LOG_EVENT(LOG_WARN, "result could not be sent",
				  LOG_STR("proxy", unsent->to),
				  LOG_INT("kept_ms",
					  (int64_t)((now - unsent->since) / USEC_PER_MSEC)));
			forget(unsent);
		}
	}
	if (!list_empty(&outbox->pending))
		timers_arm(outbox->pooler->timers, timer, now + RETRY_INTERVAL, on_retry);
}

static unsent_t *keep(outbox_t *outbox, const char *to, const char *address)
{
	unsent_t *unsent = talloc_zero(outbox->pooler, unsent_t);

	unsent->to = talloc_strdup(unsent, to);
	unsent->address = talloc_strdup(unsent, address);
	unsent->since = now_of(outbox->pooler);
	list_add_tail(&outbox->pending, &unsent->node);
	if (!timer_is_armed(&outbox->timer))
		timers_arm(outbox->pooler->timers, &outbox->timer, unsent->since + RETRY_INTERVAL,
			   on_retry);
	return unsent;
}

void outbox_send_result(outbox_t *outbox, const char *to, const char *address,
			const forward_result_t *result)
{
	unsent_t *unsent;

	if (send_result(outbox, to, address, result))
		return;
	unsent = keep(outbox, to, address);
	unsent->result = *result;
	unsent->result.raw =
		slice_of(talloc_strndup(unsent, result->raw.at, result->raw.len), result->raw.len);
	unsent->result.member = talloc_strdup(unsent, result->member);
	unsent->result.text = talloc_strdup(unsent, result->text);
}

void outbox_send_quota_answer(outbox_t *outbox, const char *to, const char *address,
			      const quota_answer_t *answer)
{
	unsent_t *unsent;

	if (send_answer(outbox, to, address, answer))
		return;
	unsent = keep(outbox, to, address);
	unsent->is_answer = true;
	unsent->answer = *answer;
	unsent->answer.customer = talloc_strdup(unsent, answer->customer);
}
