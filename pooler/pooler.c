#include "pooler.h"

#include <string.h>

#include <talloc.h>

#include "active.h"
#include "admission.h"
#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "exchange.h"
#include "failover.h"
#include "forward.h"
#include "hangup.h"
#include "home.h"
#include "job.h"
#include "leader.h"
#include "member.h"
#include "member_state.h"
#include "permit.h"
#include "quota.h"
#include "refresh.h"
#include "relay.h"
#include "room.h"
#include "sync.h"

#define LOG_MODULE "pooler"
#include "counter.h"
#include "histogram.h"
#include "log.h"

/* Interval of the tick, which checks time-outs that need no precision. */
#define TICK_INTERVAL (50 * USEC_PER_MSEC)
/* Interval of the tick while the proxy is idle: the interval of its queries for updates. */
#define IDLE_TICK_INTERVAL (250 * USEC_PER_MSEC)
/*
 * A tick that is this late shows that the process was not scheduled. Answers may lie unread in its
 * buffers, so no member counts as unresponsive before they are read. Otherwise, on a VM with an
 * eighth of a core, the leader would take all primaries for down and replace them at the start of a
 * large fleet.
 */
#define STALL_THRESHOLD (60 * USEC_PER_MSEC)
/* A tick that is this late is logged as a pause of the process. */
#define PAUSE_THRESHOLD (500 * USEC_PER_MSEC)
/*
 * Request numbers start at the incarnation (start time in ms) shifted by this many bits, so that
 * no process reuses the numbers of an earlier one: some 1,000,000 numbers for each millisecond.
 */
#define INCARNATION_SHIFT 20
/* Time for running commits to complete at a primary that is being replaced. */
#define COMMIT_GRACE (200 * USEC_PER_MSEC)
/* Time after which a member that is no longer listed in the directory is freed. */
#define UNLISTED_MEMBER_RETENTION (30 * USEC_PER_SEC)
/*
 * Time until the load balancer has noticed a shutdown, with a margin: it checks readiness once a
 * second and acts on the second answer "not ready".
 */
#define BALANCER_NOTICE_TIME (2300 * USEC_PER_MSEC)
/*
 * Directory entries that expired during an outage of the store are back within 2 s after it. A
 * process that starts then is not ready until all primaries are listed or this time has passed.
 */
#define RELISTING_TIME (3 * USEC_PER_SEC)
/*
 * Time after the start in which new sessions wait for the first configuration. Callers time out
 * after 2 s without an answer.
 */
#define CONFIG_WAIT_TIMEOUT (1500 * USEC_PER_MSEC)
/*
 * Time for which a member stays in use after its entry has become invalid. A member that lives
 * writes its entry again within a heartbeat interval, which is some 1.2 s. After this time all
 * proxies agree on the list of members, also those that have never seen a valid entry of it.
 */
#define INVALID_ENTRY_GRACE (2300 * USEC_PER_MSEC)
/* Time without permission after which sessions are closed; agreeing on a new roster takes less. */
#define NO_PERMISSION_TIMEOUT (500 * USEC_PER_MSEC)
/*
 * Number of sessions closed in one iteration of the event loop. A proxy may have 4,400 sessions; if
 * all were closed in one iteration, no socket would be read until the last one was closed.
 */
#define HANGUPS_PER_ITERATION 16
/* Time before the end of the grace time at which the remaining statements are refused. */
#define SHUTDOWN_MARGIN (300 * USEC_PER_MSEC)

COUNTER_DEFINE(config_version, "config_version", COUNTER_GAUGE,
	       "Version of the operators' configuration in force.");
COUNTER_DEFINE(pauses_total, "pauses_total", COUNTER_SUM, "Detected pauses of this process.");
HISTOGRAM_DEFINE(late_seconds, "tick_late_seconds", "",
		 "Delay of the periodic tick; unread input may be as old.");

uint64_t pooler_random(pooler_t *pooler, uint64_t bound)
{
	/* xorshift64*; used only for jitter, so its quality hardly matters. */
	pooler->random ^= pooler->random >> 12;
	pooler->random ^= pooler->random << 25;
	pooler->random ^= pooler->random >> 27;
	return bound != 0 ? (pooler->random * 2685821657736338717ull >> 16) % bound : 0;
}

uint64_t pooler_next_number(pooler_t *pooler)
{
	return ++pooler->last_number;
}

service_t *service_get(pooler_t *pooler, const char *name)
{
	service_t *service;

	HASH_FIND_STR(pooler->services_by_name, name, service);
	if (service != NULL)
		return service;
	service = talloc_zero(pooler, service_t);
	service->pooler = pooler;
	service->name = talloc_strdup(service, name);
	service->max_connections = 1;
	service->changing_since = USEC_NEVER;
	list_init(&service->members);
	list_init(&service->waiting);
	list_init(&service->estimates);
	service->queue = wait_queue_create(service);
	list_init(&service->active);
	list_add_tail(&pooler->services, &service->node);
	HASH_ADD_KEYPTR(hh, pooler->services_by_name, service->name, strlen(name), service);
	return service;
}

customer_pool_t *service_customer_pool(service_t *service, const char *customer)
{
	customer_pool_t *pool;

	HASH_FIND_STR(service->customer_pools, customer, pool);
	if (pool != NULL)
		return pool;
	pool = talloc_zero(service, customer_pool_t);
	pool->customer = talloc_strdup(pool, customer);
	HASH_ADD_KEYPTR(hh, service->customer_pools, pool->customer, strlen(customer), pool);
	return pool;
}

member_t *member_find(const pooler_t *pooler, const char *id)
{
	member_t *member;

	HASH_FIND_STR(pooler->members_by_id, id, member);
	return member;
}

void service_set_group(service_t *service, roster_group_t *group)
{
	member_t *primary = group != NULL ? member_find(service->pooler, group->primary) : NULL;

	service->group = group;
	/* The roster may name a member that its directory entry assigns to another service. */
	service->primary = primary != NULL && primary->service == service ? primary : NULL;
}

/* --- tick --- */

/* Closes connections whose commit does not complete in time at a primary being replaced. */
static void close_late_commits(service_t *service, usec_t now)
{
	if (service->changing_since == USEC_NEVER)
		return;
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		if (!member->down && now < service->changing_since + COMMIT_GRACE)
			continue;
		list_for_each (jt, &member->conns) {
			conn_t *conn = list_entry(jt, conn_t, node);

			conn->marked = conn->state == CONN_RUNNING && conn->caller != NULL &&
				       caller_may_commit(conn->caller);
		}
		conn_close_marked(member, "the primary is being replaced");
	}
}

static void free_member(pooler_t *pooler, member_t *member)
{
	if (pooler->members_by_id != NULL)
		HASH_DEL(pooler->members_by_id, member);
	if (member->service->primary == member)
		member->service->primary = NULL;
	member_destroy(member);
}

static void tick_members(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->active_members) {
		member_t *member = list_entry(it, member_t, active);

		member_tick(member, now);
		if (member->invalid_since != 0 &&
		    now >= member->invalid_since + INVALID_ENTRY_GRACE)
			pooler_on_member_gone(pooler, member->id);
		if (member->unlisted && list_empty(&member->conns) &&
		    now >= member->unlisted_since + UNLISTED_MEMBER_RETENTION)
			free_member(pooler, member);
	}
}

/*
 * True if this proxy has had no permission for a while, or its keys are too old: other proxies can
 * probably serve its callers. Clients keep their sessions, so they would be refused here for as
 * long as this proxy is cut off.
 */
static bool cannot_serve(pooler_t *pooler, usec_t now)
{
	if (now < permit_expires_at(pooler))
		pooler->last_permitted = now;
	if (pooler->last_permitted != 0 && now >= pooler->last_permitted + NO_PERMISSION_TIMEOUT)
		return true;
	return cache_is_near_expiry(&pooler->config_validity, now);
}

static drain_phase_t drain_phase(const pooler_t *pooler, usec_t now)
{
	usec_t grace = pooler->config.grace;

	if (now >= pooler->drain_started + grace - SHUTDOWN_MARGIN)
		return DRAIN_ALL;
	return now >= pooler->drain_started + grace / 2 ? DRAIN_TRANSACTIONS : DRAIN_IDLE;
}

static void tick_callers(pooler_t *pooler, usec_t now);

static void on_hangup_timer(run_timer_t *timer, usec_t now)
{
	tick_callers(list_entry(timer, pooler_t, hangup_timer), now);
}

static void tick_callers(pooler_t *pooler, usec_t now)
{
	drain_phase_t phase = drain_phase(pooler, now);
	bool at_end = pooler->draining && phase == DRAIN_ALL;
	bool close_idle = cannot_serve(pooler, now);
	size_t closed = 0;

	list_for_each_safe (it, &pooler->callers) {
		caller_t *caller = list_entry(it, caller_t, node);

		if (job_is_done(caller)) {
			caller_on_session_end(caller);
			continue;
		}
		caller_tick(caller, now);
		if (at_end && caller->busy)
			caller_end_at_shutdown(caller);
		if (closed == HANGUPS_PER_ITERATION)
			continue;
		if (pooler->draining)
			closed += hangup_drain(caller, phase);
		else if (caller->key_revoked)
			closed += hangup_key_revoked(caller);
		else if (close_idle)
			closed += hangup_without_permission(caller, now);
	}
	/* 1 us later: a timer that is due now would expire in this same iteration. */
	if (closed == HANGUPS_PER_ITERATION)
		timers_arm(pooler->timers, &pooler->hangup_timer, now_of(pooler) + 1,
			   on_hangup_timer);
}

/*
 * Stops accepting connections, once the load balancer has noticed the shutdown. Until then it sends
 * new callers, and if the process exited as soon as it had none, the next caller would be cut off.
 */
static void stop_accepting(pooler_t *pooler, usec_t now)
{
	if (!pooler->draining || pooler->accept_stopped ||
	    now < pooler->drain_started + BALANCER_NOTICE_TIME)
		return;
	pooler->accept_stopped = true;
	pooler->env->ops->stop_accepting(pooler->env);
}

static void report_drained(pooler_t *pooler)
{
	if (!pooler->accept_stopped || pooler->drained_reported || !list_empty(&pooler->callers))
		return;
	pooler->drained_reported = true;
	pooler->env->ops->drained(pooler->env);
}

static void on_tick(run_timer_t *timer, usec_t now);

static void arm_tick(pooler_t *pooler, usec_t at)
{
	pooler->tick_due = at;
	timers_arm(pooler->timers, &pooler->tick, at, on_tick);
}

void pooler_hasten_tick(pooler_t *pooler)
{
	usec_t soon = now_of(pooler) + TICK_INTERVAL;

	/* The timer is not armed before the start and during a tick. */
	if (timer_is_armed(&pooler->tick) && pooler->tick_due > soon)
		arm_tick(pooler, soon);
}

static void on_tick(run_timer_t *timer, usec_t now)
{
	pooler_t *pooler = list_entry(timer, pooler_t, tick);

	if (now > pooler->tick_due + PAUSE_THRESHOLD) {
		counter_add(&pauses_total, 1);
		LOG_EVENT(LOG_WARN, "process was paused",
			  LOG_INT("ms", (int64_t)((now - pooler->last_tick) / USEC_PER_MSEC)));
	}
	pooler->late_ticks = now > pooler->tick_due + STALL_THRESHOLD ? pooler->late_ticks + 1 : 0;
	if (pooler->late_ticks != 0)
		pooler->resumed_at = now;
	if (now > pooler->tick_due) {
		histogram_add(&late_seconds, now - pooler->tick_due);
		startup_on_late_tick(&pooler->startup, now - pooler->tick_due);
	}
	pooler->last_tick = now;
	arm_tick(pooler, now + TICK_INTERVAL);
	summary_tick(&pooler->summary, now);
	active_tick(pooler, now);
	tick_members(pooler, now);
	leader_tick(pooler, now);
	refresh_tick(pooler, now);
	relay_tick(pooler->relay, now);
	sync_tick(pooler, now);
	exchange_tick(pooler, now);
	startup_tick(&pooler->startup, permit_is_registered(pooler),
		     now < permit_expires_at(pooler), now);
	home_tick(pooler, now);
	forward_tick(pooler, now);
	failover_tick(pooler, now);
	list_for_each (it, &pooler->active_services) {
		service_t *service = list_entry(it, service_t, active);

		close_late_commits(service, now);
		dispatch_run(service);
		dispatch_tick(service, now);
	}
	tick_callers(pooler, now);
	stop_accepting(pooler, now);
	report_drained(pooler);
	if (!active_needs_fast_tick(pooler, now))
		arm_tick(pooler, now + IDLE_TICK_INTERVAL);
}

/* --- start and end --- */

static int pooler_destructor(pooler_t *pooler)
{
	timers_cancel(pooler->timers, &pooler->tick);
	timers_cancel(pooler->timers, &pooler->hangup_timer);
	timers_cancel(pooler->timers, &pooler->join_timer);
	timers_cancel(pooler->timers, &pooler->link_timer);
	sync_destroy(pooler);
	outbox_destroy(&pooler->outbox);
	list_for_each (it, &pooler->services) {
		service_t *service = list_entry(it, service_t, node);

		timers_cancel(pooler->timers, &service->retry_timer);
		HASH_CLEAR(hh, service->customer_pools);
	}
	quota_destroy(pooler->quota);
	list_for_each (it, &pooler->callers)
		timers_cancel(pooler->timers, &list_entry(it, caller_t, node)->timer);
	HASH_CLEAR(hh, pooler->services_by_name);
	HASH_CLEAR(hh, pooler->members_by_id);
	return 0;
}

pooler_t *pooler_create(void *parent, const pooler_config_t *config, env_t *env,
			const run_clock_t *clock, timer_set_t *timers)
{
	pooler_t *pooler = talloc_zero(parent, pooler_t);

	pooler->clock = clock;
	pooler->timers = timers;
	pooler->env = env;
	pooler->config = *config;
	pooler->config.name = talloc_strdup(pooler, config->name);
	pooler->config.zone = talloc_strdup(pooler, config->zone);
	pooler->config.address = talloc_strdup(pooler, config->address);
	pooler->config.prefix = talloc_strdup(pooler, config->prefix);
	pooler->random = config->seed | 1;
	/* Messages carry signed numbers, so the numbers must stay positive. */
	pooler->last_number = (config->incarnation << INCARNATION_SHIFT) & INT64_MAX;
	list_init(&pooler->services);
	list_init(&pooler->members);
	active_init(pooler);
	list_init(&pooler->callers);
	list_init(&pooler->forwarded);
	pooler->relay = relay_create(pooler, env->kv);
	pooler->config_validity.max_age = config->revoke_bound;
	pooler->shard_owners = shard_owners_create(pooler);
	pooler->quota = quota_create(pooler);
	sync_init(pooler);
	outbox_init(&pooler->outbox, pooler);
	talloc_set_destructor(pooler, pooler_destructor);
	return pooler;
}

void pooler_start(pooler_t *pooler)
{
	usec_t now = now_of(pooler);

	pooler->last_tick = now;
	pooler->tick_due = now;
	pooler->started = now;
	startup_begin(&pooler->startup, now);
	on_tick(&pooler->tick, now);
}

kv_t *pooler_store(pooler_t *pooler)
{
	return relay_get_kv(pooler->relay);
}

/* True if every primary on the roster is listed in the directory, which gives its address. */
static bool has_primary_addresses(const pooler_t *pooler)
{
	list_for_each (it, &pooler->sync.roster->groups) {
		if (member_find(pooler, list_entry(it, roster_group_t, node)->primary) == NULL)
			return false;
	}
	return true;
}

bool pooler_is_ready(const pooler_t *pooler)
{
	usec_t now = now_of(pooler);

	/* A proxy may be ready before it is registered: statements wait for the few ms. */
	if (pooler->routes == NULL || pooler->draining || now >= permit_expires_at(pooler) ||
	    cache_is_near_expiry(&pooler->config_validity, now))
		return false;
	return has_primary_addresses(pooler) || now >= pooler->started + RELISTING_TIME;
}

/*
 * If a fleet starts while the store is unreachable, callers that are refused at once use up their
 * attempts within milliseconds and fail although the fleet serves a moment later. Without the wait,
 * 648 of 1,732 callers failed in the four seconds around such a start (all proxies killed 0.8 s
 * before the end of an outage of the store).
 */
bool pooler_awaits_config(const pooler_t *pooler)
{
	return pooler->routes == NULL && !pooler->draining &&
	       now_of(pooler) < pooler->started + CONFIG_WAIT_TIMEOUT;
}

void pooler_set_grace(pooler_t *pooler, usec_t grace)
{
	/* Once a shutdown has begun, the time of its end is fixed. */
	if (!pooler->draining)
		pooler->config.grace = grace;
}

void pooler_drain(pooler_t *pooler)
{
	if (pooler->draining)
		return;
	pooler->draining = true;
	pooler->drain_started = now_of(pooler);
	LOG_EVENT(LOG_INFO, "draining", LOG_INT("callers", (int64_t)list_length(&pooler->callers)));
	/* Releases the leader lease, so that another proxy can acquire it at once. */
	leader_release(pooler);
	tick_callers(pooler, pooler->drain_started);
}

/* --- the platform --- */

void pooler_set_directory(pooler_t *pooler, follow_t *config, follow_t *members)
{
	pooler->config_follow = config;
	pooler->members_follow = members;
}

void pooler_on_routes(pooler_t *pooler, routes_t *routes)
{
	if (pooler->routes != NULL && routes->version <= pooler->routes->version) {
		talloc_free(routes);
		return;
	}
	LOG_EVENT(LOG_INFO, "configuration in force",
		  LOG_INT("customers", (int64_t)customers_count(routes->customers)),
		  LOG_INT("version", routes->version),
		  LOG_INT("before", pooler->routes != NULL ? pooler->routes->version : 0),
		  LOG_INT("heard", pooler->newest_config_version),
		  LOG_INT("proved_age_ms", usec_age_ms(cache_validity_age(&pooler->config_validity,
									  now_of(pooler)))),
		  LOG_INT("routes", (int64_t)list_length(&routes->routes)));
	talloc_free(pooler->routes);
	pooler->routes = talloc_steal(pooler, routes);
	counter_set(&config_version, routes->version);
	pooler->sync.config_push_pending = true;
	list_for_each (it, &routes->services) {
		const service_limits_t *limits = list_entry(it, service_limits_t, node);

		service_get(pooler, limits->name)->max_connections = limits->max_connections;
	}
	/* The limits decide which services have homes, so connect to homes again. */
	pooler->next_home_connect_at = 0;
	home_connect(pooler, now_of(pooler));
	admission_on_keys_changed(pooler);
}

void pooler_on_config_confirmed(pooler_t *pooler, usec_t asked_at)
{
	/* A store restored from a backup may hold an older configuration than the fleet. */
	if (pooler->routes != NULL && pooler->routes->version >= pooler->newest_config_version)
		cache_validity_confirm(&pooler->config_validity, asked_at);
}

static bool names_other_service(const member_t *member, const member_entry_t *entry)
{
	return entry->revision >= member->revision &&
	       strcmp(member->service->name, entry->service) != 0;
}

/*
 * Forgets a member whose newest entry names another service, since the connections, the log
 * position and the role are those of the service before.
 */
static void forget_moved_member(pooler_t *pooler, member_t *member, const member_entry_t *entry)
{
	LOG_EVENT(LOG_WARN, "entry of a member names another service",
		  LOG_STR("member", member->id), LOG_STR("service", entry->service),
		  LOG_STR("before", member->service->name), LOG_INT("revision", entry->revision));
	pooler->members_digest ^= refresh_member_digest(member);
	/* Closing a connection must not open another one to the member. */
	member->unlisted = true;
	free_member(pooler, member);
}

void pooler_on_member(pooler_t *pooler, const member_entry_t *entry)
{
	member_t *member = member_find(pooler, entry->id);

	if (member != NULL && names_other_service(member, entry)) {
		forget_moved_member(pooler, member, entry);
		member = NULL;
	}
	if (member == NULL) {
		member = member_create(pooler, entry);
		HASH_ADD_KEYPTR(hh, pooler->members_by_id, member->id, strlen(member->id), member);
		service_set_group(member->service, member->service->group);
	} else {
		pooler->members_digest ^= refresh_member_digest(member);
	}
	member_update(member, entry);
	pooler->members_digest ^= refresh_member_digest(member);
	dispatch_run(member->service);
}

void pooler_on_member_gone(pooler_t *pooler, const char *id)
{
	member_t *member = member_find(pooler, id);

	if (member == NULL || member->unlisted)
		return;
	pooler->members_digest ^= refresh_member_digest(member);
	member_set_unlisted(member);
}

void pooler_on_member_invalid(pooler_t *pooler, const char *id)
{
	member_t *member = member_find(pooler, id);

	if (member == NULL || member->unlisted || member->invalid_since != 0)
		return;
	member->invalid_since = now_of(pooler);
	active_add_member(member);
}

void pooler_on_promoted(pooler_t *pooler, const char *service, promote_status_t status)
{
	failover_on_promoted(service_get(pooler, service), status);
}

void pooler_on_message(pooler_t *pooler, const peer_message_t *message)
{
	exchange_on_message(pooler, message);
}

/* --- operators --- */

static json_t *dump_member(const member_t *member, usec_t now)
{
	json_t *object = json_pack(
		"{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:i, s:i, s:I, s:I}", "id", member->id,
		"address", member->address, "zone", member->zone, "leaving", member->leaving,
		"gone", member->unlisted, "down", member->down, "says_primary",
		member->claims_primary, "connections", (int)member->conn_count, "load",
		(int)room_used(member), "response_usec", (json_int_t)member->response_time,
		"last_reply_ms", (json_int_t)((now - member->last_reply_at) / USEC_PER_MSEC));

	json_object_update_new(object, member_state_to_json(member, now));
	return object;
}

static json_t *dump_service(service_t *service, usec_t now)
{
	const member_t *primary = permit_primary(service, now);
	json_t *members = json_array();
	json_t *object;

	list_for_each (it, &service->members)
		json_array_append_new(
			members,
			room_add_to_dump(dump_member(list_entry(it, member_t, in_service), now),
					 list_entry(it, member_t, in_service), now));
	object = json_pack("{s:s, s:s, s:i, s:i, s:i, s:o}", "name", service->name, "primary",
			   primary != NULL ? primary->id : "", "waiting",
			   (int)list_length(&service->waiting), "samples",
			   service->freshness != NULL ? (int)service->freshness->len : 0,
			   "change_step", (int)service->change.step, "members", members);
	json_object_update_new(object, member_state_home_to_json(service, now));
	return object;
}

json_t *pooler_dump(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	json_t *services = json_array();

	list_for_each (it, &pooler->services)
		json_array_append_new(services, dump_service(list_entry(it, service_t, node), now));
	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:s, s:I, s:b, s:i, s:o}", "name",
			 pooler->config.name, "ready", pooler_is_ready(pooler), "config_version",
			 (json_int_t)(pooler->routes != NULL ? pooler->routes->version : 0),
			 "config_heard", (json_int_t)pooler->newest_config_version, "config_age_ms",
			 (json_int_t)usec_age_ms(cache_validity_age(&pooler->config_validity, now)),
			 "roster", (json_int_t)sync->roster->revision, "roster_age_ms",
			 (json_int_t)(sync->confirmed_at != USEC_NEVER
					      ? (now - sync->confirmed_at) / USEC_PER_MSEC
					      : 0),
			 "holder", sync->leader != NULL ? sync->leader : "", "fence",
			 (json_int_t)sync->fencing_token, "holding", leader_is_self(pooler, now),
			 "callers", (int)list_length(&pooler->callers), "services", services);
}
