#include "report.h"

#include "member_state.h"

#define LOG_MODULE "report"
#include "counter.h"
#include "histogram.h"
#include "log.h"

COUNTER_DEFINE(done_total, "statements_done_total", COUNTER_SUM,
	       "Statements answered with success.");
COUNTER_DEFINE(late_total, "statements_late_total", COUNTER_SUM,
	       "Statements answered with success, but later than their route's objective.");
COUNTER_DEFINE(refused_total, "statements_refused_total", COUNTER_SUM,
	       "Statements refused with a code that promises that they had no effect.");
COUNTER_DEFINE(in_doubt_total, "statements_unsure_total", COUNTER_SUM,
	       "Statements whose outcome is in doubt or that timed out.");
COUNTER_DEFINE(failed_total, "statements_failed_total", COUNTER_SUM,
	       "Statements that failed at the member, or were malformed.");

COUNTER_GRID_DEFINE(not_served_total, "statements_not_served_total", "reason", reason_names,
		    "outcome", code_names,
		    "Statements answered with an error, by reason and outcome.");

#define STATEMENT_SECONDS "statement_seconds"
#define STATEMENT_HELP	  "Time from a statement to its answer, by the route's reads and outcome."

HISTOGRAM_DEFINE(primary_done, STATEMENT_SECONDS, "reads=\"primary\",outcome=\"done\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(primary_failed, STATEMENT_SECONDS, "reads=\"primary\",outcome=\"failed\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(bounded_done, STATEMENT_SECONDS, "reads=\"bounded\",outcome=\"done\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(bounded_failed, STATEMENT_SECONDS, "reads=\"bounded\",outcome=\"failed\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(session_done, STATEMENT_SECONDS, "reads=\"session\",outcome=\"done\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(session_failed, STATEMENT_SECONDS, "reads=\"session\",outcome=\"failed\"",
		 STATEMENT_HELP);
HISTOGRAM_DEFINE(wait_seconds, "statement_wait_seconds", "",
		 "Time that a statement waited for a connection to a member.");

static histogram_t *const done_seconds[] = {
	[READS_PRIMARY] = &primary_done,
	[READS_BOUNDED] = &bounded_done,
	[READS_SESSION] = &session_done,
};

static histogram_t *const failed_seconds[] = {
	[READS_PRIMARY] = &primary_failed,
	[READS_BOUNDED] = &bounded_failed,
	[READS_SESSION] = &session_failed,
};

/* Age of the cached keys in ms; -1: not confirmed yet. */
static int64_t keys_age_msec(const caller_t *caller, usec_t now)
{
	return usec_age_ms(cache_validity_age(&caller->pooler->config_validity, now));
}

/* Age of the roster in ms; -1: not confirmed by the store yet. */
static int64_t roster_age_msec(const caller_t *caller, usec_t now)
{
	usec_t confirmed = caller->pooler->sync.confirmed_at;

	return confirmed != USEC_NEVER ? usec_since_ms(confirmed, now) : -1;
}

void report_success(const caller_t *caller)
{
	usec_t now = now_of(caller->pooler);
	usec_t took = now - caller->received_at;
	const conn_t *conn = caller->conn;

	/* The proxy that the caller is connected to counts the statement. */
	if (caller->job != NULL)
		return;

	counter_add(&done_total, 1);
	histogram_add(done_seconds[caller->reads], took);
	histogram_add(&wait_seconds, caller->placed_at - caller->received_at);
	if (took <= caller->objective)
		return;
	counter_add(&late_total, 1);
	LOG_EVENT(
		LOG_INFO, "statement missed its objective",
		LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		LOG_STR("database", caller->database), LOG_STR("service", caller->service->name),
		LOG_STR("customer", caller->customer != NULL ? caller->customer : ""),
		LOG_INT("took_ms", took / USEC_PER_MSEC),
		LOG_INT("waited_ms", usec_since_ms(caller->received_at, caller->placed_at)),
		LOG_INT("ran_ms",
			usec_since_ms(conn != NULL ? conn->sent_at : caller->forwarded_at, now)),
		LOG_INT("attempts", caller->attempts),
		LOG_STR("member", conn != NULL ? conn->member->id : ""),
		LOG_INT("member_usual_ms",
			conn != NULL ? (int64_t)(conn->member->response_time / USEC_PER_MSEC) : -1),
		LOG_STR("helper", caller->helper != NULL ? caller->helper : ""),
		LOG_INT("waiting", list_length(&caller->service->waiting)));
}

static counter_t *outcome_counter(code_t code)
{
	switch (code) {
	case CODE_IN_DOUBT:
	case CODE_TIMEOUT:
		return &in_doubt_total;
	case CODE_FAILED:
	case CODE_NO_STATEMENT:
	case CODE_MALFORMED:
	case CODE_OTHER:
		return &failed_total;
	default:
		return &refused_total;
	}
}

void report_failure(const caller_t *caller, code_t code, reason_t reason, const char *detail)
{
	usec_t now = now_of(caller->pooler);

	if (caller->job == NULL) {
		counter_add(outcome_counter(code), 1);
		counter_grid_increment(&not_served_total, reason, code);
		histogram_add(failed_seconds[caller->reads], now - caller->received_at);
	}
	LOG_EVENT(LOG_WARN, "statement not served",
		  LOG_SLICE("request", caller->statement.id.at, caller->statement.id.len),
		  LOG_STR("database", caller->database),
		  LOG_STR("service", caller->service != NULL ? caller->service->name : ""),
		  LOG_STR("customer", caller->customer != NULL ? caller->customer : ""),
		  LOG_STR("outcome", code_name(code)), LOG_STR("reason", reason_text(reason)),
		  LOG_STR("detail", detail != NULL ? detail : ""),
		  LOG_INT("attempts", caller->attempts),
		  LOG_INT("waited_ms", usec_since_ms(caller->received_at, now)),
		  LOG_STR("member", caller->conn != NULL ? caller->conn->member->id : ""),
		  LOG_STR("helper", caller->helper != NULL ? caller->helper : ""),
		  LOG_STR("for", caller->job != NULL ? caller->job->origin : ""),
		  LOG_INT("config", caller->pooler->routes->version),
		  LOG_INT("roster", caller->pooler->sync.roster->revision),
		  LOG_INT("roster_age_ms", roster_age_msec(caller, now)),
		  LOG_INT("keys_age_ms", keys_age_msec(caller, now)));
	if (caller->service != NULL &&
	    (reason == REASON_NO_CONNECTION || reason == REASON_NO_MEMBER))
		member_state_log(caller->service, now);
}
