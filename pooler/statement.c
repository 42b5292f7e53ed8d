#include "statement.h"

#include <string.h>

const char *const code_names[CODE_COUNT] = {
	[CODE_NONE] = "none",
	[CODE_BUSY] = "busy",
	[CODE_ABORTED] = "aborted",
	[CODE_LAGGING] = "lagging",
	[CODE_READONLY] = "read_only",
	[CODE_MISROUTED] = "misrouted",
	[CODE_TOO_MANY] = "too_many",
	[CODE_IN_DOUBT] = "in_doubt",
	[CODE_TIMEOUT] = "timeout",
	[CODE_FAILED] = "failed",
	[CODE_NO_STATEMENT] = "no_statement",
	[CODE_MALFORMED] = "malformed",
	[CODE_NO_DATABASE] = "no_database",
	[CODE_NO_AUTH] = "no_auth",
	[CODE_OTHER] = "other",
};

const char *code_name(code_t code)
{
	return code_names[code];
}

const char *tx_state_name(tx_state_t tx)
{
	static const char *const names[] = {
		[TX_NONE] = "none", [TX_OPEN] = "open", [TX_FAILED] = "failed"};

	return names[tx];
}

bool code_means_not_run(code_t code)
{
	switch (code) {
	case CODE_BUSY:
	case CODE_LAGGING:
	case CODE_READONLY:
	case CODE_MISROUTED:
	case CODE_TOO_MANY:
	case CODE_NO_STATEMENT:
		return true;
	default:
		return false;
	}
}

bool slice_equals(slice_t a, slice_t b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.at, b.at, a.len) == 0);
}
