#include "types.h"

#include <talloc.h>

static const char *const outcome_names[] = {
	[OUTCOME_DONE] = "done",
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown",
};

static const char *const refusal_names[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = "none",
	[REFUSAL_BAD_REQUEST] = "bad_request",
	[REFUSAL_BAD_TOKEN] = "bad_token",
	[REFUSAL_UNKNOWN_ROW] = "unknown_row",
	[REFUSAL_NO_TABLE] = "no_table",
	[REFUSAL_NO_PRIMARY] = "no_primary",
	[REFUSAL_NO_MAJORITY] = "no_majority",
	[REFUSAL_OVERLOAD] = "overload",
	[REFUSAL_DEADLINE] = "deadline",
	[REFUSAL_NO_HOME] = "no_home",
	[REFUSAL_STALE_MESSAGE] = "stale_message",
	[REFUSAL_SHUTDOWN] = "shutdown",
	[REFUSAL_SQL] = "sql",
	[REFUSAL_TX_LOST] = "tx_lost",
	[REFUSAL_TX_BUSY] = "tx_busy",
	[REFUSAL_CONN_LOST] = "conn_lost",
	[REFUSAL_RETRY_BUDGET] = "retry_budget",
};

const char *outcome_name(outcome_t outcome)
{
	return outcome_names[outcome];
}

const char *refusal_name(refusal_t refusal)
{
	return refusal < REFUSAL_COUNT ? refusal_names[refusal] : "unknown";
}

query_t *query_copy(void *parent, const query_t *query)
{
	query_t *copy = talloc(parent, query_t);

	*copy = *query;
	copy->service = talloc_strdup(copy, query->service);
	copy->class_name = talloc_strdup(copy, query->class_name);
	copy->group = talloc_strdup(copy, query->group);
	copy->text = talloc_strdup(copy, query->text);
	copy->params = talloc_strdup(copy, query->params);
	copy->request_id = talloc_strdup(copy, query->request_id);
	copy->tx = talloc_strdup(copy, query->tx);
	return copy;
}

answer_t *answer_copy(void *parent, const answer_t *answer)
{
	answer_t *copy = talloc(parent, answer_t);

	*copy = *answer;
	copy->detail = talloc_strdup(copy, answer->detail);
	copy->rows = talloc_strdup(copy, answer->rows);
	copy->member = talloc_strdup(copy, answer->member);
	copy->group = talloc_strdup(copy, answer->group);
	copy->tx = talloc_strdup(copy, answer->tx);
	return copy;
}
