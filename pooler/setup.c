#include "setup.h"

#include "counter.h"

static const char *const request_names[] = {
	[REQUEST_FORWARD] = "statement", [REQUEST_EXEC] = "exec",
	[REQUEST_BEGIN] = "begin",	 [REQUEST_BEGIN_READ] = "begin_read",
	[REQUEST_ROLLBACK] = "rollback", [REQUEST_SET] = "set",
	[REQUEST_PREPARE] = "prepare",	 [REQUEST_RESET] = "reset",
	[REQUEST_STATUS] = "status",	 [REQUEST_DEMOTE] = "demote",
};

COUNTER_GRID_DEFINE(failed_total, "member_setup_requests_failed_total", "request", request_names,
		    "code", code_names,
		    "Requests sent to a member ahead of a statement that failed there.");

void setup_start(setup_t *setup)
{
	setup->len = 0;
	setup->answered = 0;
	setup->failed = 0;
	setup->code = CODE_NONE;
	setup->tx = TX_NONE;
}

void setup_add(setup_t *setup, request_kind_t request)
{
	setup->requests[setup->len++] = request;
}

void setup_on_reply(setup_t *setup, const reply_t *reply)
{
	request_kind_t request = setup->requests[setup->answered++];

	setup->tx = reply->tx;
	if (reply->ok)
		return;
	counter_grid_increment(&failed_total, request, reply->code);
	if (setup->failed++ != 0)
		return;
	setup->first_failed = request;
	setup->code = reply->code;
}

bool setup_is_answered(const setup_t *setup)
{
	return setup->answered == setup->len;
}

bool setup_begins_tx(const setup_t *setup)
{
	return setup->len != 0 && (setup->requests[setup->len - 1] == REQUEST_BEGIN ||
				   setup->requests[setup->len - 1] == REQUEST_BEGIN_READ);
}

const char *request_name(request_kind_t request)
{
	return request_names[request];
}
