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

static bool is_begin(request_kind_t request)
{
	return request == REQUEST_BEGIN || request == REQUEST_BEGIN_READ;
}

void setup_start(setup_t *setup, tx_state_t tx)
{
	setup->len = 0;
	setup->answered = 0;
	setup->failed = 0;
	setup->code = CODE_NONE;
	setup->tx = tx;
	setup->expected_tx = tx;
	setup->tx_differs = false;
}

void setup_add(setup_t *setup, request_kind_t request)
{
	setup->requests[setup->len++] = request;
}

void setup_on_reply(setup_t *setup, const reply_t *reply)
{
	request_kind_t request = setup->requests[setup->answered++];

	if (reply->ok && is_begin(request))
		setup->expected_tx = TX_OPEN;
	setup->tx = reply->tx;
	setup->tx_differs = setup->tx_differs || reply->tx != setup->expected_tx;
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
	return setup->len != 0 && is_begin(setup->requests[setup->len - 1]);
}

setup_outcome_t setup_outcome(const setup_t *setup)
{
	if (setup->tx_differs)
		return SETUP_UNCERTAIN;
	if (setup->failed == 0)
		return SETUP_COMPLETE;
	/* A refused BEGIN changes nothing; what another failed request has changed is not known. */
	return setup->failed == 1 && is_begin(setup->first_failed) ? SETUP_BEGIN_REFUSED
								   : SETUP_UNCERTAIN;
}

const char *request_name(request_kind_t request)
{
	return request_names[request];
}
