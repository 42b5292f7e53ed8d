#include "summary.h"

#define LOG_MODULE "summary"
#include "counter.h"
#include "log.h"

/* Interval of the log line, which costs 100 bytes a second. */
#define INTERVAL (5 * USEC_PER_SEC)

/* Counters that the log line shows. */
static const char *const counter_names[] = {
	"statements_done_total",    "statements_refused_total",	  "statements_unsure_total",
	"statements_failed_total",  "statements_retried_total",	  "transactions_total",
	"caller_sessions_total",    "member_connections_total",	  "member_setups_total",
	"member_resets_total",	    "member_full_total",	  "store_calls_total",
	"peer_messages_sent_total", "statements_forwarded_total", "statements_run_for_others_total",
};

#define COUNT (sizeof(counter_names) / sizeof(counter_names[0]))

_Static_assert(COUNT <= sizeof(((summary_t *)0)->before) / sizeof(int64_t),
	       "summary_t.before is too small");

void summary_tick(summary_t *summary, usec_t now)
{
	log_field_t fields[COUNT];

	if (now < summary->next)
		return;
	for (size_t i = 0; i < COUNT; i++) {
		int64_t value = counters_total(counter_names[i]);

		fields[i] = LOG_INT(counter_names[i], value - summary->before[i]);
		summary->before[i] = value;
	}
	/* The first call only records the counters' values. */
	if (summary->next != 0)
		LOG_FIELDS(LOG_INFO, "summary", fields, COUNT);
	summary->next = now + INTERVAL;
}
