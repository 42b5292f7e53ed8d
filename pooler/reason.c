#include "reason.h"

const char *const reason_names[REASON_COUNT] = {
	[REASON_NO_MEMBER] = "no_member",
	[REASON_NO_CONNECTION] = "no_connection",
	[REASON_QUEUE_TOO_LONG] = "queue_too_long",
	[REASON_TOO_LATE] = "too_late",
	[REASON_MEMBER_REFUSED] = "member_refused",
	[REASON_SHUTTING_DOWN] = "shutting_down",
	[REASON_NOT_SERVED_ELSEWHERE] = "not_served_elsewhere",
	[REASON_UNKNOWN_KEY] = "unknown_key",
	[REASON_KEY_REVOKED] = "key_taken",
	[REASON_KEYS_TOO_OLD] = "keys_too_old",
	[REASON_CONFIG_TOO_OLD] = "config_too_old",
	[REASON_LIMIT_REACHED] = "limit_reached",
	[REASON_LIMIT_UNKNOWN] = "limit_unknown",
	[REASON_NO_ANSWER] = "no_answer",
	[REASON_CONNECTION_LOST] = "connection_lost",
	[REASON_PERMISSION_ENDED] = "permission_ended",
	[REASON_MEMBER_FAILED] = "member_failed",
	[REASON_ROLLED_BACK] = "rolled_back",
	[REASON_TRANSACTION_FAILED] = "transaction_failed",
	[REASON_NO_TRANSACTION] = "no_transaction",
	[REASON_UNKNOWN_NAME] = "unknown_name",
	[REASON_UNKNOWN_DATABASE] = "unknown_database",
	[REASON_UNKNOWN_STATEMENT] = "unknown_statement",
	[REASON_TOO_MANY_VALUES] = "too_many_values",
};

const char *reason_text(reason_t reason)
{
	static const char *const texts[REASON_COUNT] = {
		[REASON_NO_MEMBER] = "no member can serve this now",
		[REASON_NO_CONNECTION] = "no connection came free in time",
		[REASON_QUEUE_TOO_LONG] = "the queue is longer than the time left",
		[REASON_TOO_LATE] = "it would miss its objective, and the members are busy",
		[REASON_MEMBER_REFUSED] = "the members refused it",
		[REASON_SHUTTING_DOWN] = "shutting down",
		[REASON_NOT_SERVED_ELSEWHERE] = "the home could not have it served",
		[REASON_UNKNOWN_KEY] = "no customer has this key",
		[REASON_KEY_REVOKED] = "the key was taken from the customer",
		[REASON_KEYS_TOO_OLD] = "what is known of the keys is too old",
		[REASON_CONFIG_TOO_OLD] = "a newer configuration may have this database",
		[REASON_LIMIT_REACHED] = "the customer's limit is reached",
		[REASON_LIMIT_UNKNOWN] = "nobody who counts the customer's operations answers",
		[REASON_NO_ANSWER] = "the member did not answer in time",
		[REASON_CONNECTION_LOST] = "the connection to the member was lost",
		[REASON_PERMISSION_ENDED] = "permission for the primary ended meanwhile",
		[REASON_MEMBER_FAILED] = "the member's answer",
		[REASON_ROLLED_BACK] = "the transaction was rolled back",
		[REASON_TRANSACTION_FAILED] = "the transaction failed; end it",
		[REASON_NO_TRANSACTION] = "no transaction is open",
		[REASON_UNKNOWN_NAME] = "no prepared statement of that name",
		[REASON_UNKNOWN_DATABASE] = "no such database",
		[REASON_UNKNOWN_STATEMENT] = "not a statement that is known here",
		[REASON_TOO_MANY_VALUES] = "too many values in this session",
	};

	return texts[reason];
}
