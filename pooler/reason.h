/* Reasons for which a statement was not served, for the caller, the log and the metrics. */
#pragma once

typedef enum {
	/* Refused before any part of the statement ran. */
	REASON_NO_MEMBER,
	REASON_NO_CONNECTION,
	REASON_QUEUE_TOO_LONG,
	REASON_TOO_LATE,
	REASON_MEMBER_REFUSED,
	REASON_SHUTTING_DOWN,
	REASON_NOT_SERVED_ELSEWHERE,
	REASON_UNKNOWN_KEY,
	REASON_KEY_REVOKED,
	REASON_KEYS_TOO_OLD,
	REASON_CONFIG_TOO_OLD,
	REASON_LIMIT_REACHED,
	REASON_LIMIT_UNKNOWN,
	/* Failed while the statement was in flight or running. */
	REASON_NO_ANSWER,
	REASON_CONNECTION_LOST,
	REASON_PERMISSION_ENDED,
	REASON_MEMBER_FAILED,
	REASON_ROLLED_BACK,
	/* The statement itself is invalid in this session. */
	REASON_TRANSACTION_FAILED,
	REASON_NO_TRANSACTION,
	REASON_UNKNOWN_NAME,
	REASON_UNKNOWN_DATABASE,
	REASON_UNKNOWN_STATEMENT,
	REASON_TOO_MANY_VALUES,
	REASON_COUNT,
} reason_t;

/* Label values of metrics, such as "no_member". */
extern const char *const reason_names[REASON_COUNT];

/* Returns the text for callers and the log. */
const char *reason_text(reason_t reason);
