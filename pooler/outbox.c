#include "outbox.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"

#define LOG_MODULE "outbox"
#include "counter.h"
#include "log.h"

/* Interval between attempts to send; a link within a region takes 5 to 15 ms to set up. */
#define RETRY_INTERVAL (4 * USEC_PER_MSEC)
/* Time after which a result is dropped: by then the proxy has ended or stopped waiting for it. */
#define PENDING_TIMEOUT (500 * USEC_PER_MSEC)

COUNTER_DEFINE(late_total, "results_sent_late_total", COUNTER_SUM,
	       "Results for other proxies that were sent once their link was up.");
COUNTER_DEFINE(lost_total, "results_unsent_total", COUNTER_SUM,
	       "Results for other proxies that were dropped for want of a link.");

COUNTER_DEFINE(pongs_late_total, "pongs_sent_late_total", COUNTER_SUM,
	       "Answers to pings that were sent once their link was up.");
COUNTER_DEFINE(pongs_lost_total, "pongs_unsent_total", COUNTER_SUM,
	       "Answers to pings that were dropped for want of a link.");

typedef struct pending {
	list_t node; /* in outbox_t.pending */
	char *to;
	char *address;
	peer_message_kind_t kind; /* of the message: a result, an answer or a pong */
	forward_result_t result;  /* valid for PEER_FORWARD_RESULT */
	quota_answer_t answer;	  /* valid for PEER_QUOTA_ANSWER */
	usec_t since;
} pending_t;

void outbox_init(outbox_t *outbox, pooler_t *pooler)
{
	outbox->pooler = pooler;
	list_init(&outbox->pending);
}

void outbox_destroy(outbox_t *outbox)
{
	timers_cancel(outbox->pooler->timers, &outbox->timer);
}

static bool fill_and_send(const outbox_t *outbox, const char *to, const char *address,
			  peer_message_t *message)
{
	const pooler_t *pooler = outbox->pooler;

	exchange_fill_sender(pooler, message);
	return pooler->env->ops->peer_send(pooler->env, to, address, message);
}

static bool send_result(const outbox_t *outbox, const char *to, const char *address,
			const forward_result_t *result)
{
	peer_message_t message = {.kind = PEER_FORWARD_RESULT, .result = result};

	return fill_and_send(outbox, to, address, &message);
}

static bool send_answer(const outbox_t *outbox, const char *to, const char *address,
			const quota_answer_t *answer)
{
	peer_message_t message = {.kind = PEER_QUOTA_ANSWER, .quota_answer = answer};

	return fill_and_send(outbox, to, address, &message);
}

static bool send_pong(const outbox_t *outbox, const char *to, const char *address)
{
	peer_message_t message = {.kind = PEER_PONG};

	return fill_and_send(outbox, to, address, &message);
}

static bool resend(const outbox_t *outbox, const pending_t *entry)
{
	switch (entry->kind) {
	case PEER_QUOTA_ANSWER:
		return send_answer(outbox, entry->to, entry->address, &entry->answer);
	case PEER_PONG:
		return send_pong(outbox, entry->to, entry->address);
	default:
		return send_result(outbox, entry->to, entry->address, &entry->result);
	}
}

static void remove_pending(pending_t *entry)
{
	list_del(&entry->node);
	talloc_free(entry);
}

static void record_lost(const pending_t *entry, usec_t now)
{
	bool is_pong = entry->kind == PEER_PONG;

	counter_add(is_pong ? &pongs_lost_total : &lost_total, 1);
	LOG_EVENT(is_pong ? LOG_DBG : LOG_WARN,
		  is_pong ? "pong could not be sent" : "result could not be sent",
		  LOG_STR("proxy", entry->to),
		  LOG_INT("kept_ms", (int64_t)((now - entry->since) / USEC_PER_MSEC)));
}

static void on_retry(run_timer_t *timer, usec_t now)
{
	outbox_t *outbox = list_entry(timer, outbox_t, timer);

	list_for_each_safe (it, &outbox->pending) {
		pending_t *entry = list_entry(it, pending_t, node);

		if (resend(outbox, entry)) {
			counter_add(entry->kind == PEER_PONG ? &pongs_late_total : &late_total, 1);
			remove_pending(entry);
		} else if (now >= entry->since + PENDING_TIMEOUT) {
			record_lost(entry, now);
			remove_pending(entry);
		}
	}
	if (!list_empty(&outbox->pending))
		timers_arm(outbox->pooler->timers, timer, now + RETRY_INTERVAL, on_retry);
}

static pending_t *add_pending(outbox_t *outbox, const char *to, const char *address,
			      peer_message_kind_t kind)
{
	pending_t *entry = talloc_zero(outbox->pooler, pending_t);

	entry->kind = kind;
	entry->to = talloc_strdup(entry, to);
	entry->address = talloc_strdup(entry, address);
	entry->since = now_of(outbox->pooler);
	list_add_tail(&outbox->pending, &entry->node);
	if (!timer_is_armed(&outbox->timer))
		timers_arm(outbox->pooler->timers, &outbox->timer, entry->since + RETRY_INTERVAL,
			   on_retry);
	return entry;
}

void outbox_send_result(outbox_t *outbox, const char *to, const char *address,
			const forward_result_t *result)
{
	pending_t *entry;

	if (send_result(outbox, to, address, result))
		return;
	entry = add_pending(outbox, to, address, PEER_FORWARD_RESULT);
	entry->result = *result;
	entry->result.raw =
		slice_of(talloc_strndup(entry, result->raw.at, result->raw.len), result->raw.len);
	entry->result.member = talloc_strdup(entry, result->member);
	entry->result.text = talloc_strdup(entry, result->text);
}

static bool has_pending_pong(const outbox_t *outbox, const char *to)
{
	list_for_each (it, &outbox->pending) {
		const pending_t *entry = list_entry(it, pending_t, node);

		if (entry->kind == PEER_PONG && strcmp(entry->to, to) == 0)
			return true;
	}
	return false;
}

void outbox_send_pong(outbox_t *outbox, const char *to, const char *address)
{
	if (!send_pong(outbox, to, address) && !has_pending_pong(outbox, to))
		add_pending(outbox, to, address, PEER_PONG);
}

void outbox_send_quota_answer(outbox_t *outbox, const char *to, const char *address,
			      const quota_answer_t *answer)
{
	pending_t *entry;

	if (send_answer(outbox, to, address, answer))
		return;
	entry = add_pending(outbox, to, address, PEER_QUOTA_ANSWER);
	entry->answer = *answer;
	entry->answer.customer = talloc_strdup(entry, answer->customer);
}
