#include "member_state.h"

#include <string.h>

#include "exchange.h"
#include "home.h"
#include "member.h"
#include "permit.h"
#include "room.h"

#define LOG_MODULE "member"
#include "log.h"

/* Names of the states in the dump and the log. */
static const char *const conn_state_names[CONN_STATES] = {
	[CONN_OPENING] = "opening",	[CONN_IDLE] = "idle",
	[CONN_PREPARING] = "preparing", [CONN_RUNNING] = "running",
	[CONN_HELD] = "held",		[CONN_ROLLING_BACK] = "rolling_back",
	[CONN_ORPHANED] = "orphaned",	[CONN_PROBING] = "probing",
};

static int64_t msec_until(usec_t then, usec_t now)
{
	return then > now ? (int64_t)((then - now) / USEC_PER_MSEC) : 0;
}

static void count_conn(member_state_t *state, const conn_t *conn, usec_t now)
{
	int64_t age = usec_since_ms(conn->state_since, now);

	if (conn->probe) {
		state->probe_ms = age;
		return;
	}
	state->conns[conn->state]++;
	if (conn->state == CONN_OPENING) {
		if (age > state->opening_ms)
			state->opening_ms = age;
		return;
	}
	age = usec_since_ms(conn->sent_at, now);
	if (conn->state != CONN_IDLE && conn->state != CONN_HELD && age > state->request_ms)
		state->request_ms = age;
}

member_state_t member_state_get(const member_t *member, usec_t now)
{
	member_state_t state = {
		.share = room_conn_share(member),
		.can_open = room_can_open(member, now, true),
		.opening_ms = -1,
		.request_ms = -1,
		.backoff_ms = msec_until(member->connect_not_before, now),
		.no_borrow_ms = msec_until(member->no_borrow_until, now),
		.suspect_ms = usec_since_ms(member->suspect_since, now),
		.probe_ms = -1,
		.last_reply_ms = member_last_reply_ms(member, now),
	};

	list_for_each (it, &member->conns)
		count_conn(&state, list_entry(it, conn_t, node), now);
	return state;
}

/* --- the home in whose place this proxy would serve --- */

typedef struct home_state {
	const char *name;      /* "": this service needs no home, or none is reached */
	int64_t unanswered_ms; /* since when it owes an answer; -1: it owes none */
} home_state_t;

static home_state_t get_home(service_t *service, usec_t now)
{
	const roster_node_t *home = home_is_needed(service) ? home_find(service, now) : NULL;
	const peer_report_t *report;

	if (home == NULL)
		return (home_state_t){.name = "", .unanswered_ms = -1};
	report = exchange_find_report(service->pooler, home->name);
	if (report == NULL || report->unanswered_since == 0)
		return (home_state_t){.name = home->name, .unanswered_ms = -1};
	return (home_state_t){.name = home->name,
			      .unanswered_ms = usec_since_ms(report->unanswered_since, now)};
}

static const char *primary_id(const service_t *service, usec_t now)
{
	const member_t *primary = permit_primary(service, now);

	return primary != NULL ? primary->id : "";
}

/* --- dump --- */

json_t *member_state_to_json(const member_t *member, usec_t now)
{
	member_state_t state = member_state_get(member, now);
	json_t *object = json_object();

	for (size_t i = 0; i < CONN_STATES; i++)
		json_object_set_new(object, conn_state_names[i],
				    json_integer((json_int_t)state.conns[i]));
	json_object_set_new(object, "share", json_integer((json_int_t)state.share));
	json_object_set_new(object, "can_open", json_boolean(state.can_open));
	json_object_set_new(object, "opening_ms", json_integer(state.opening_ms));
	json_object_set_new(object, "request_ms", json_integer(state.request_ms));
	json_object_set_new(object, "backoff_ms", json_integer(state.backoff_ms));
	json_object_set_new(object, "no_borrow_ms", json_integer(state.no_borrow_ms));
	json_object_set_new(object, "suspect_ms", json_integer(state.suspect_ms));
	json_object_set_new(object, "probe_ms", json_integer(state.probe_ms));
	return object;
}

json_t *member_state_home_to_json(service_t *service, usec_t now)
{
	home_state_t home = get_home(service, now);

	return json_pack("{s:s, s:I}", "home", home.name, "home_unanswered_ms",
			 (json_int_t)home.unanswered_ms);
}

/* --- log --- */

static void log_member(const member_t *member, usec_t now)
{
	member_state_t state = member_state_get(member, now);
	const log_field_t fixed[] = {
		LOG_STR("service", member->service->name),
		LOG_STR("member", member->id),
		LOG_INT("down", member->down),
		LOG_INT("leaving", member->leaving),
		LOG_INT("unlisted", member->unlisted),
		LOG_INT("connections", member->conn_count),
		LOG_INT("share", state.share),
		LOG_INT("can_open", state.can_open),
		LOG_INT("opening_ms", state.opening_ms),
		LOG_INT("request_ms", state.request_ms),
		LOG_INT("backoff_ms", state.backoff_ms),
		LOG_INT("no_borrow_ms", state.no_borrow_ms),
		LOG_INT("suspect_ms", state.suspect_ms),
		LOG_INT("probe_ms", state.probe_ms),
		LOG_INT("last_reply_ms", state.last_reply_ms),
	};
	enum { FIXED = sizeof(fixed) / sizeof(fixed[0]) };
	log_field_t fields[FIXED + CONN_STATES];

	memcpy(fields, fixed, sizeof(fixed));
	for (size_t i = 0; i < CONN_STATES; i++)
		fields[FIXED + i] = LOG_INT(conn_state_names[i], state.conns[i]);
	LOG_FIELDS(LOG_WARN, "state of a member", fields, FIXED + CONN_STATES);
}

void member_state_log(service_t *service, usec_t now)
{
	home_state_t home;
	size_t lines = 0;

	if (service->state_logged_at != 0 && now < service->state_logged_at + MEMBER_STATE_INTERVAL)
		return;
	service->state_logged_at = now;
	home = get_home(service, now);
	LOG_EVENT(LOG_WARN, "state of a service", LOG_STR("service", service->name),
		  LOG_STR("primary", primary_id(service, now)),
		  LOG_INT("waiting", (int64_t)list_length(&service->waiting)),
		  LOG_STR("home", home.name), LOG_INT("home_unanswered_ms", home.unanswered_ms),
		  LOG_INT("members", (int64_t)list_length(&service->members)));
	list_for_each (it, &service->members) {
		if (lines++ == MEMBER_STATE_LINES_MAX)
			return;
		log_member(list_entry(it, member_t, in_service), now);
	}
}
