#include "event.h"

static const char *const event_names[EVENT_COUNT] = {
	[EVENT_TICK] = "tick",
	[EVENT_QUERY] = "query",
	[EVENT_CALLER_GONE] = "caller_gone",
	[EVENT_MESSAGE] = "message",
	[EVENT_UNSENT] = "unsent",
	[EVENT_CONN_UP] = "conn_up",
	[EVENT_CONN_DOWN] = "conn_down",
	[EVENT_RUN_DONE] = "run_done",
	[EVENT_ORDER_DONE] = "order_done",
	[EVENT_CONTROL_DOWN] = "control_down",
	[EVENT_STORE_LOADED] = "store_loaded",
	[EVENT_STORE_DONE] = "store_done",
	[EVENT_WATCH_DOWN] = "watch_down",
	[EVENT_VMS] = "vms",
	[EVENT_EDIT] = "edit",
	[EVENT_DRAIN] = "drain",
};

static const char *const action_names[ACTION_COUNT] = {
	[ACTION_ANSWER] = "answer",
	[ACTION_SEND] = "send",
	[ACTION_CONNECT] = "connect",
	[ACTION_CLOSE] = "close",
	[ACTION_RUN] = "run",
	[ACTION_ORDER] = "order",
	[ACTION_STORE_LOAD] = "store_load",
	[ACTION_STORE_WATCH] = "store_watch",
	[ACTION_STORE_COMMIT] = "store_commit",
	[ACTION_VMS] = "vms",
	[ACTION_EDIT_DONE] = "edit_done",
	[ACTION_LOG] = "note",
	[ACTION_DRAINED] = "drained",
};

static const char *const order_names[ORDER_COUNT] = {
	[ORDER_REPORT] = "report",
	[ORDER_SEAL] = "seal",
	[ORDER_PROMOTE] = "promote",
	[ORDER_FOLLOW] = "follow",
};

static const char *const run_names[RUN_COUNT] = {
	[RUN_READ] = "read",	       [RUN_WRITE] = "write",	[RUN_BEGIN] = "begin",
	[RUN_STATEMENT] = "statement", [RUN_COMMIT] = "commit", [RUN_ROLLBACK] = "rollback",
};

const char *event_kind_name(event_kind_t kind)
{
	return event_names[kind];
}

const char *action_kind_name(action_kind_t kind)
{
	return action_names[kind];
}

const char *order_kind_name(order_kind_t kind)
{
	return order_names[kind];
}

const char *run_kind_name(run_kind_t kind)
{
	return run_names[kind];
}
