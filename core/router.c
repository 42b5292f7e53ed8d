#include "router.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "exec.h"
#include "group.h"
#include "peers.h"
#include "placement.h"
#include "request.h"
#include "tablesync.h"
#include "tx.h"

/* The home's deadline is earlier by this, so that its answer arrives before the caller's. */
#define ANSWER_MARGIN (10 * USEC_PER_MSEC)
/* A home that has not answered within this fraction of ack_timeout sends MESSAGE_ACCEPTED. */
#define ACCEPT_DIVISOR	     4
#define RETRY_AFTER_HOME     (500 * USEC_PER_MSEC)
#define RETRY_AFTER_TABLE    USEC_PER_SEC
#define RETRY_AFTER_SHUTDOWN (10 * USEC_PER_MSEC)
/* A proxy that starts to watch a group counts as able to serve the group for this time. */
#define WATCH_START_GRACE USEC_PER_SEC
/* Interval between attempts to route a request after a pause of this process. */
#define RESUME_RETRY_INTERVAL (50 * USEC_PER_MSEC)
/*
 * How long a statement of a transaction waits for a broken connection to its home
 * to be restored: the next attempt to connect starts within 250 ms and may take
 * 300 ms. If the home has failed, the caller's refusal is delayed by this time.
 */
#define LINK_WAIT (600 * USEC_PER_MSEC)
/* Interval between attempts to send such a statement. */
#define LINK_RETRY_INTERVAL (50 * USEC_PER_MSEC)

static void route(request_t *request);
static void admit(request_t *request);

/* --- after a pause of this process --- */

static void on_resume_retry(run_timer_t *timer, usec_t now)
{
	request_t *request = list_entry(timer, request_t, ack_timer);

	(void)now;
	if (request->group_name == NULL)
		admit(request);
	else
		route(request);
}

/*
 * After a pause this process can't rely on its table being current, nor on its
 * peers and backend servers being reachable. A request that is read right then would be
 * refused, although messages from peers and new connections resolve all that
 * within milliseconds. So the request is retried for suspect_after, by when a
 * healthy peer has sent a message. Returns false once that time is over.
 */
static bool wait_after_pause(request_t *request)
{
	core_t *core = request->core;

	if (core->pauses == 0 || core->now - core->resumed_at >= core->config.timings.suspect_after)
		return false;
	request->home = NULL;
	request->tried_count = 0;
	timers_arm(&core->timers, &request->ack_timer, core->now + RESUME_RETRY_INTERVAL,
		   on_resume_retry);
	return true;
}

/* --- checks on arrival --- */

/* A caller's own BEGIN or COMMIT would end the transaction in which the proxy runs it. */
static bool is_transaction_control(const char *text)
{
	static const char *const words[] = {
		"begin",   "start",	"commit",  "end",     "rollback", "abort",
		"prepare", "savepoint", "release", "set",     "reset",	  "discard",
		"listen",  "unlisten",	"notify",  "declare", "copy",	  "lock",
	};
	size_t len = 0;

	while (isspace((unsigned char)*text) || *text == ';')
		text++;
	while (isalpha((unsigned char)text[len]))
		len++;
	/* A leading comment could hide the first keyword, so such statements are refused. */
	if (len == 0)
		return true;
	for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (strlen(words[i]) == len && strncasecmp(text, words[i], len) == 0)
			return true;
	}
	return false;
}

static bool has_text(const query_t *query)
{
	return query->verb == VERB_STATEMENT || query->verb == VERB_TX_STATEMENT;
}

static bool check_text(request_t *request)
{
	if (!has_text(request->query) || !is_transaction_control(request->query->text))
		return true;
	request_refuse(request, REFUSAL_BAD_REQUEST, 0,
		       "the statement must start with its keyword and be no transaction or "
		       "session control");
	return false;
}

static bool check_token(request_t *request, const char *token)
{
	core_t *core = request->core;

	if (token == NULL || session_decode(core->config.token_key, token, request->session) == 0)
		return true;
	request->session->len = 0;
	request_refuse(request, REFUSAL_BAD_TOKEN, 0, "the session token is not this fleet's");
	return false;
}

static bool check_service(request_t *request)
{
	core_t *core = request->core;

	if (core->draining) {
		request_refuse(request, REFUSAL_SHUTDOWN, RETRY_AFTER_SHUTDOWN,
			       "this proxy is shutting down");
		return false;
	}
	if (!table_is_current(core)) {
		if (request->peer == NULL && wait_after_pause(request))
			return false;
		request_refuse(request, REFUSAL_NO_TABLE, RETRY_AFTER_TABLE,
			       "the operators' table (version %llu) can't be known to be current",
			       (unsigned long long)core->table->version);
		return false;
	}
	return true;
}

static void limit_deadline(request_t *request, usec_t max_time)
{
	if (request->query->time_left <= max_time)
		return;
	request->query->time_left = max_time;
	request->deadline = request->arrived + max_time;
	timers_arm(&request->core->timers, &request->timer, request->deadline, request->timer.cb);
}

/* Look up the request's row and apply its settings; refuses and returns false if there is none. */
static bool apply_row(request_t *request)
{
	core_t *core = request->core;
	query_t *query = request->query;
	const row_t *row = table_find_row(core->table, query->service, query->class_name);

	if (row == NULL) {
		request_refuse(request, REFUSAL_UNKNOWN_ROW, 0,
			       "no row %s/%s in table version %llu", query->service,
			       query->class_name, (unsigned long long)core->table->version);
		return false;
	}
	request->row = talloc_strdup(request, row->name);
	request->group_name = talloc_strdup(request, row->group);
	request->kind = query->verb == VERB_BEGIN ? ROW_WRITE : row->kind;
	query->group = talloc_strdup(query, row->group);
	query->min_position = session_min_position(request->session, row->group);
	query->token_lost |= session_is_partial(request->session, row->group);
	limit_deadline(request, row->timeout);
	return true;
}

/* --- forwarding --- */

static bool home_was_tried(const request_t *request, const char *home)
{
	for (size_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried_homes[i], home) == 0)
			return true;
	}
	return false;
}

static void on_ack_timeout(run_timer_t *timer, usec_t now);

static void forward(request_t *request, const char *home)
{
	core_t *core = request->core;
	usec_t left = request->deadline - core->now;
	message_t message = {.kind = MESSAGE_EXECUTE, .request = request->id};

	request->home = talloc_strdup(request, home);
	request->tried_homes[request->tried_count++] = request->home;
	request->state = REQUEST_FORWARDED;
	request->query->time_left = left > ANSWER_MARGIN ? left - ANSWER_MARGIN : 0;
	message.query = request->query;
	peers_send(core, home, &message);
	timers_arm(&core->timers, &request->ack_timer, core->now + core->config.timings.ack_timeout,
		   on_ack_timeout);
}

/* The first-ranked proxy not tried yet; a suspect one only if no other is left. */
static proxy_t *choose_home(const request_t *request, const ranks_t *ranks)
{
	proxy_t *last_resort = NULL;

	for (size_t i = 0; i < ranks->len; i++) {
		proxy_t *proxy = ranks->proxies[i];

		if (home_was_tried(request, proxy->name))
			continue;
		if (!proxy->suspect)
			return proxy;
		if (last_resort == NULL)
			last_resort = proxy;
	}
	return last_resort;
}

/* A proxy that can't reach a majority of the group's members can't confirm anything. */
static bool can_serve_group(const group_t *group)
{
	if (group->members == NULL || group->rank < 0)
		return false;
	return group_count_responsive(group) >= group_majority(group) ||
	       group->core->now - group->watched_since < WATCH_START_GRACE;
}

static void route(request_t *request)
{
	core_t *core = request->core;
	group_t *group = group_find(core, request->group_name);
	proxy_t *home = NULL;

	if (group != NULL && core->placement->runs_all) {
		home = core->fleet->self;
	} else if (group != NULL) {
		fleet_rank(core->fleet, group->name, &group->ranks);
		if (request->tried_count < REQUEST_MAX_TRIES)
			home = choose_home(request, &group->ranks);
	}
	if (home == NULL) {
		if (wait_after_pause(request))
			return;
		request_refuse(request, REFUSAL_NO_HOME, RETRY_AFTER_HOME,
			       "no proxy that serves group %s can be reached", request->group_name);
		return;
	}
	if (!home->self) {
		forward(request, home->name);
		return;
	}
	if (!can_serve_group(group) && !core->placement->runs_all) {
		request->tried_homes[request->tried_count++] = home->name;
		route(request);
		return;
	}
	exec_submit(request, group);
}

static void route_tx(request_t *request)
{
	core_t *core = request->core;
	char *home = tx_home(request, request->query->tx);

	request->kind = ROW_WRITE;
	if (home == NULL ||
	    (strcmp(home, core->name) != 0 && fleet_find(core->fleet, home) == NULL)) {
		request_refuse(request, REFUSAL_TX_LOST, 0,
			       "the proxy that held transaction %s is gone: it was rolled back",
			       request->query->tx);
		return;
	}
	if (strcmp(home, core->name) == 0)
		tx_submit(request);
	else
		forward(request, home);
}

static void admit(request_t *request)
{
	if (check_service(request) && apply_row(request))
		route(request);
}

void router_query(core_t *core, uint64_t id, const query_event_t *event)
{
	request_t *request = request_from_caller(core, id, event->query);

	if (!check_token(request, event->token) || !check_text(request))
		return;
	if (request->query->tx != NULL) {
		route_tx(request);
		return;
	}
	admit(request);
}

/* --- results of a forwarded request --- */

/* The home has failed or is silent; whether it has run the request is unknown. */
static void handle_home_lost(request_t *request, const char *why)
{
	proxy_t *home = fleet_find(request->core->fleet, request->home);

	if (home != NULL)
		fleet_set_suspect(home, request->core->now);
	timers_cancel(&request->core->timers, &request->ack_timer);
	if (request->query->tx != NULL) {
		/*
		 * If the home has failed, its connections are closed and the server rolls back,
		 * unless this request was the commit.
		 */
		request->maybe_ran = request->query->verb == VERB_COMMIT;
		request_refuse(request, REFUSAL_TX_LOST, 0, "proxy %s %s", request->home, why);
		return;
	}
	if (!request_is_repeatable(request)) {
		request->maybe_ran = true;
		request_refuse(request, REFUSAL_NO_HOME, RETRY_AFTER_HOME, "proxy %s %s",
			       request->home, why);
		return;
	}
	/* The next home must not answer "not run" while the first one may run the request. */
	if (request->kind == ROW_WRITE && request->query->verb != VERB_BEGIN) {
		request->maybe_ran = true;
		request->query->resend = true;
	}
	route(request);
}

static void on_ack_timeout(run_timer_t *timer, usec_t now)
{
	(void)now;
	handle_home_lost(list_entry(timer, request_t, ack_timer),
			 "did not accept the request in time");
}

static void on_link_retry(run_timer_t *timer, usec_t now)
{
	request_t *request = list_entry(timer, request_t, ack_timer);

	(void)now;
	request->tried_count = 0;
	forward(request, request->home);
}

/*
 * A statement of a transaction can only run at the proxy that opened the
 * transaction. If merely the connection to that proxy breaks, the transaction is
 * intact; a caller that got "transaction lost" would leave it open, with its locks,
 * until tx_idle. The statement has certainly not been sent, so it is sent again
 * for LINK_WAIT. Returns false once that time is over.
 */
static bool wait_for_link(request_t *request)
{
	core_t *core = request->core;

	if (core->now - request->arrived >= LINK_WAIT)
		return false;
	timers_arm(&core->timers, &request->ack_timer, core->now + LINK_RETRY_INTERVAL,
		   on_link_retry);
	return true;
}

void router_unsent(core_t *core, uint64_t id)
{
	request_t *request = request_find(core, id);
	proxy_t *home;

	if (request == NULL || request->state != REQUEST_FORWARDED || request->home == NULL)
		return;
	if (request->query->tx != NULL && wait_for_link(request))
		return;
	home = fleet_find(core->fleet, request->home);
	if (home != NULL)
		fleet_set_suspect(home, core->now);
	timers_cancel(&core->timers, &request->ack_timer);
	if (request->query->tx != NULL)
		request_refuse(request, REFUSAL_TX_LOST, 0, "proxy %s can't be reached",
			       request->home);
	else
		route(request);
}

void router_check_homes(core_t *core)
{
	request_t *request;
	request_t *next;

	HASH_ITER (hh, core->requests, request, next) {
		const proxy_t *home;

		if (request->state != REQUEST_FORWARDED || request->home == NULL)
			continue;
		home = fleet_find(core->fleet, request->home);
		if (home == NULL || home->suspect)
			handle_home_lost(request, "fell silent");
	}
}

void router_after_pause(core_t *core)
{
	request_t *request;
	request_t *next;

	HASH_ITER (hh, core->requests, request, next) {
		if (request->state == REQUEST_FORWARDED && request->home != NULL &&
		    timer_is_armed(&request->ack_timer))
			timers_arm(&core->timers, &request->ack_timer,
				   core->now + core->config.timings.ack_timeout, on_ack_timeout);
	}
}

void router_accepted(core_t *core, const message_t *message)
{
	request_t *request = request_find(core, message->request);

	if (request != NULL && request->state == REQUEST_FORWARDED && request->home != NULL)
		timers_cancel(&core->timers, &request->ack_timer);
}

/* Retry at the same home or the next one; returns false if the refusal does not allow a retry. */
static bool retry_after_refusal(request_t *request, const answer_t *answer)
{
	if (answer->outcome != OUTCOME_NOT_RUN && !request->maybe_ran)
		return false;
	switch (answer->refusal) {
	case REFUSAL_STALE_MESSAGE:
		/* The refusal carries the home's clock, which the next attempt echoes. */
		if (request->tried_count < REQUEST_MAX_TRIES) {
			forward(request, request->home);
			return true;
		}
		return false;
	case REFUSAL_NO_HOME:
	case REFUSAL_SHUTDOWN:
		if (request->query->tx != NULL)
			return false;
		route(request);
		return true;
	default:
		return false;
	}
}

void router_answer(core_t *core, const message_t *message)
{
	request_t *request = request_find(core, message->request);

	/* The request of a late answer no longer exists: ids are never reused. */
	if (request == NULL || request->state != REQUEST_FORWARDED)
		return;
	timers_cancel(&core->timers, &request->ack_timer);
	if (!retry_after_refusal(request, message->answer))
		request_finish(request, message->answer);
}

void router_deadline(request_t *request)
{
	/* This holds for reads too: whether the home has run one is unknown. */
	request->maybe_ran |= request->home != NULL;
	request_refuse(request, REFUSAL_DEADLINE, RETRY_AFTER_HOME,
		       "proxy %s has not answered by the deadline",
		       request->home != NULL ? request->home : "none");
}

/* --- requests forwarded to this proxy --- */

void router_answer_peer(request_t *request, const answer_t *answer)
{
	message_t message = {
		.kind = MESSAGE_ANSWER,
		.request = request->peer_request,
		.answer = (answer_t *)answer,
	};

	peers_send(request->core, request->peer, &message);
}

static void on_accept_due(run_timer_t *timer, usec_t now)
{
	request_t *request = list_entry(timer, request_t, ack_timer);
	message_t message = {.kind = MESSAGE_ACCEPTED, .request = request->peer_request};

	(void)now;
	peers_send(request->core, request->peer, &message);
}

/*
 * A message may have waited in a buffer while this proxy was paused or cut off, and
 * its sender may have sent the request to another home since. The message was sent
 * after this proxy's clock reading that it echoes, which bounds its age.
 */
static bool is_too_old(const core_t *core, const message_t *message)
{
	if (message->echo == 0 || message->echo < core->resumed_at)
		return true;
	return core->now - message->echo >= message->query->time_left;
}

/*
 * False if the row is at another group in the sender's table: the session's position is one of that
 * group's log. A proxy of an earlier version names no group.
 */
static bool is_group_of_query(const group_t *group, const query_t *query)
{
	return query->group == NULL || strcmp(group->name, query->group) == 0;
}

void router_execute(core_t *core, proxy_t *from, const message_t *message)
{
	request_t *request = request_from_peer(core, from->name, message->request, message->query);
	const query_t *query = request->query;
	const row_t *row;
	group_t *group;

	if (is_too_old(core, message)) {
		request_refuse(request, REFUSAL_STALE_MESSAGE, 0, "the message may be %s",
			       message->echo == 0 ? "of any age" : "older than its deadline");
		return;
	}
	timers_arm(&core->timers, &request->ack_timer,
		   core->now + core->config.timings.ack_timeout / ACCEPT_DIVISOR, on_accept_due);
	if (query->tx != NULL) {
		tx_submit(request);
		return;
	}
	if (!check_service(request))
		return;
	row = table_find_row(core->table, query->service, query->class_name);
	group = row != NULL ? group_find(core, row->group) : NULL;
	if (group == NULL || !is_group_of_query(group, query) || !can_serve_group(group)) {
		request_refuse(request, REFUSAL_NO_HOME, RETRY_AFTER_HOME,
			       "proxy %s does not serve the group of %s/%s", core->name,
			       query->service, query->class_name);
		return;
	}
	request->row = talloc_strdup(request, row->name);
	exec_submit(request, group);
}
