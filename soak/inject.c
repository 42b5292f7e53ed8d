#include "inject.h"

#include <stdio.h>

#include <talloc.h>

#include "standin_command.h"

#define MSEC USEC_PER_MSEC
/*
 * A fault that affects a number of statements of a member has usually affected all of them within
 * this time.
 */
#define COUNTED_FAULT_TIME (2 * USEC_PER_SEC)
/* Time from the end of a member to the start of the member that replaces it. */
#define REPLACEMENT_DELAY (1 * USEC_PER_SEC)

typedef void (*fault_cb_t)(inject_t *inject, const fault_t *fault);

typedef struct followup {
	list_t node;
	usec_t due_at;
	fault_cb_t cb;
	fault_t fault;
} followup_t;

typedef struct handler {
	fault_cb_t begin;
	fault_cb_t end; /* NULL: the fault needs no end */
} fault_handler_t;

static usec_t inject_now(const inject_t *inject)
{
	return clock_now(inject->fleet->loop->clock);
}

static unsigned target_proxy(const inject_t *inject, const fault_t *fault)
{
	return fault->target % inject->fleet->options.proxies;
}

static unsigned target_member(const inject_t *inject, const fault_t *fault)
{
	return fault->target % (inject->fleet->options.services * FLEET_MEMBERS);
}

static unsigned target_service(const inject_t *inject, const fault_t *fault)
{
	return fault->target % inject->fleet->options.services;
}

static void schedule(inject_t *inject, const fault_t *fault, usec_t delay, fault_cb_t cb)
{
	followup_t *followup = talloc_zero(inject, followup_t);

	followup->due_at = inject_now(inject) + delay;
	followup->cb = cb;
	followup->fault = *fault;
	list_add_tail(&inject->followups, &followup->node);
}

/* --- proxies --- */

static void begin_pause(inject_t *inject, const fault_t *fault)
{
	fleet_pause_proxy(inject->fleet, target_proxy(inject, fault),
			  inject_now(inject) + fault->duration);
}

static void begin_kill(inject_t *inject, const fault_t *fault)
{
	fleet_kill_proxy(inject->fleet, target_proxy(inject, fault), fault->duration);
}

static void begin_term(inject_t *inject, const fault_t *fault)
{
	fleet_stop_proxy(inject->fleet, target_proxy(inject, fault), fault->duration);
}

/* Restarts the target proxy, and schedules the restart of the next one amount ms later. */
static void rolling_restart_step(inject_t *inject, const fault_t *fault)
{
	fault_t next = *fault;

	fleet_stop_proxy(inject->fleet, target_proxy(inject, fault), fault->duration);
	next.target++;
	/* In a large fleet the rolling restart would continue after the end of the plan. */
	if (next.target < inject->fleet->options.proxies &&
	    inject_now(inject) + fault->amount * MSEC < inject->started_at + inject->plan->length)
		schedule(inject, &next, fault->amount * MSEC, rolling_restart_step);
}

static void begin_rolling_restart(inject_t *inject, const fault_t *fault)
{
	fault_t first = *fault;

	first.target = 0;
	rolling_restart_step(inject, &first);
}

static void begin_hangup(inject_t *inject, const fault_t *fault)
{
	fleet_reload(inject->fleet, target_proxy(inject, fault));
}

static void begin_power_loss(inject_t *inject, const fault_t *fault)
{
	for (unsigned i = 0; i < inject->fleet->options.proxies; i++)
		fleet_kill_proxy(inject->fleet, i, fault->duration);
}

/* --- the link of one proxy to the store --- */

static link_t *store_link(inject_t *inject, const fault_t *fault)
{
	proxy_t *proxy = &inject->fleet->proxies[target_proxy(inject, fault)];

	fleet_add_span(proxy->disturbances, inject_now(inject), fault->duration);
	return proxy->store_link;
}

static void heal_store_link(inject_t *inject, const fault_t *fault)
{
	link_heal(store_link(inject, &(fault_t){.target = fault->target}));
}

static void begin_store_link_cut(inject_t *inject, const fault_t *fault)
{
	link_t *link = store_link(inject, fault);

	link_cut(link, LINK_OUT);
	link_cut(link, LINK_BACK);
}

static void begin_store_link_one_way(inject_t *inject, const fault_t *fault)
{
	link_cut(store_link(inject, fault), fault->amount % LINK_DIRECTIONS);
}

static void begin_store_link_delay(inject_t *inject, const fault_t *fault)
{
	store_link(inject, fault)->delay = fault->amount * MSEC;
}

static void begin_store_link_reset(inject_t *inject, const fault_t *fault)
{
	link_reset(store_link(inject, fault));
}

static void begin_store_link_silence(inject_t *inject, const fault_t *fault)
{
	link_silence(store_link(inject, fault));
}

static void begin_store_refuses_calls(inject_t *inject, const fault_t *fault)
{
	link_redirect(store_link(inject, fault), fleet_refusing_port(inject->fleet));
}

static void end_store_refuses_calls(inject_t *inject, const fault_t *fault)
{
	link_redirect(store_link(inject, &(fault_t){.target = fault->target}),
		      fleet_store_port(inject->fleet));
}

/* --- the platform --- */

static void begin_store_down(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store down 1");
}

static void end_store_down(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store down 0");
}

static void begin_store_slow(inject_t *inject, const fault_t *fault)
{
	fleet_send_command(inject->fleet, "store delay %u", fault->amount);
}

static void end_store_slow(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store delay 4");
}

static void begin_store_answers_lost(inject_t *inject, const fault_t *fault)
{
	fleet_send_command(inject->fleet, "store %s %u",
			   fault->target % 3 == 0 ? "lose-keeps" : "lose", fault->amount);
}

static void begin_store_compacted(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store compact");
}

static void begin_store_restored(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store copy");
}

static void end_store_restored(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store restore");
}

static void begin_store_watches_stalled(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store deaf 1");
}

static void end_store_watches_stalled(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "store deaf 0");
}

/* The members run in the stand-in's process and stop with it. */
static void begin_platform_pause(inject_t *inject, const fault_t *fault)
{
	fleet_t *fleet = inject->fleet;

	for (unsigned i = 0; i < fleet->options.services; i++)
		fleet_add_span(fleet->member_faults[i], inject_now(inject), fault->duration);
	fleet_pause_platform(fleet, inject_now(inject) + fault->duration);
}

static void begin_promote_answers_lost(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "cloud loses");
}

static void begin_promote_refused(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "cloud refuses");
}

static void end_promote_fault(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_send_command(inject->fleet, "cloud up");
}

static void begin_config(inject_t *inject, const fault_t *fault)
{
	fleet_send_config(inject->fleet, fault->amount);
}

/* --- members --- */

static void add_member_fault(inject_t *inject, const fault_t *fault, usec_t duration)
{
	fleet_add_span(inject->fleet->member_faults[target_member(inject, fault) / FLEET_MEMBERS],
		       inject_now(inject), duration);
}

static void send_member_command(inject_t *inject, const fault_t *fault, const char *word,
				unsigned number)
{
	fleet_send_command(inject->fleet, "member %u %s %u", target_member(inject, fault), word,
			   number);
}

static void begin_member_crash(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, fault->duration);
	send_member_command(inject, fault, "crash", 0);
}

static void end_member_crash(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "start", 0);
}

/*
 * Crashes the current primary of a service. When the fault ends, all members of the service are
 * started, since another member is the primary by then and the plan does not record which one
 * crashed.
 */
static void begin_primary_crash(inject_t *inject, const fault_t *fault)
{
	unsigned service = target_service(inject, fault);

	fleet_add_span(inject->fleet->member_faults[service], inject_now(inject), fault->duration);
	fleet_send_command(inject->fleet, "member %u crash", STANDIN_PRIMARY_OF + service);
}

static void start_service_members(inject_t *inject, const fault_t *fault)
{
	unsigned first = target_service(inject, fault) * FLEET_MEMBERS;

	for (unsigned i = 0; i < FLEET_MEMBERS; i++)
		fleet_send_command(inject->fleet, "member %u start", first + i);
}

/*
 * A planned replacement: the member reports that it is leaving and still serves. At the end of the
 * fault it stops and a new member starts in its place.
 */
static void begin_member_replace(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "leave", 0);
}

static void start_replacement(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, 0);
	send_member_command(inject, fault, "start", 0);
}

static void end_member_replace(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, REPLACEMENT_DELAY);
	send_member_command(inject, fault, "replace", ++inject->replacement_count);
	schedule(inject, fault, REPLACEMENT_DELAY, start_replacement);
}

/* The current primary reports that it is leaving. */
static void begin_primary_replace(inject_t *inject, const fault_t *fault)
{
	fleet_send_command(inject->fleet, "member %u leave",
			   STANDIN_PRIMARY_OF + target_service(inject, fault));
}

/*
 * The member that is leaving may no longer be the primary, so it is selected by its leaving state.
 */
static void end_primary_replace(inject_t *inject, const fault_t *fault)
{
	unsigned service = target_service(inject, fault);

	fleet_add_span(inject->fleet->member_faults[service], inject_now(inject),
		       REPLACEMENT_DELAY);
	fleet_send_command(inject->fleet, "leavers %u replace %u", service,
			   ++inject->replacement_count);
	schedule(inject, fault, REPLACEMENT_DELAY, start_service_members);
}

static void begin_member_slow(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, fault->duration);
	send_member_command(inject, fault, "slow", fault->amount);
}

static void end_member_slow(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "slow", 0);
}

static void begin_member_lag(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "lag", fault->amount);
}

static void end_member_lag(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "lag", 0);
}

static void begin_member_answers_lost(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, COUNTED_FAULT_TIME);
	send_member_command(inject, fault, "lose", fault->amount);
}

static void begin_member_connections_reset(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, COUNTED_FAULT_TIME);
	send_member_command(inject, fault, "reset", fault->amount);
}

static void begin_member_refuses_statements(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "grey", fault->amount);
}

static void begin_member_replication_stalled(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "deaf", 1);
}

static void end_member_replication_stalled(inject_t *inject, const fault_t *fault)
{
	send_member_command(inject, fault, "deaf", 0);
}

/* --- the links to a member --- */

static link_t *member_link(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, fault->duration);
	return inject->fleet->member_links[target_member(inject, fault)];
}

static void heal_member_link(inject_t *inject, const fault_t *fault)
{
	link_heal(member_link(inject, &(fault_t){.target = fault->target}));
}

static void begin_member_link_cut(inject_t *inject, const fault_t *fault)
{
	link_t *link = member_link(inject, fault);

	link_cut(link, LINK_OUT);
	link_cut(link, LINK_BACK);
}

static void begin_member_link_one_way(inject_t *inject, const fault_t *fault)
{
	link_cut(member_link(inject, fault), fault->amount % LINK_DIRECTIONS);
}

static void begin_member_link_delay(inject_t *inject, const fault_t *fault)
{
	member_link(inject, fault)->delay = fault->amount * MSEC;
}

static void begin_member_link_limit(inject_t *inject, const fault_t *fault)
{
	member_link(inject, fault)->rate = fault->amount;
}

static void begin_member_link_reset(inject_t *inject, const fault_t *fault)
{
	link_reset(member_link(inject, fault));
}

static void begin_member_link_silence(inject_t *inject, const fault_t *fault)
{
	add_member_fault(inject, fault, COUNTED_FAULT_TIME);
	link_silence(member_link(inject, fault));
}

/* --- the plan --- */

static const fault_handler_t fault_handlers[FAULT_COUNT] = {
	[FAULT_PAUSE] = {begin_pause, NULL},
	[FAULT_KILL] = {begin_kill, NULL},
	[FAULT_TERM] = {begin_term, NULL},
	[FAULT_ROLLING_RESTART] = {begin_rolling_restart, NULL},
	[FAULT_HANGUP] = {begin_hangup, NULL},
	[FAULT_POWER_LOSS] = {begin_power_loss, NULL},
	[FAULT_STORE_LINK_CUT] = {begin_store_link_cut, heal_store_link},
	[FAULT_STORE_LINK_ONE_WAY] = {begin_store_link_one_way, heal_store_link},
	[FAULT_STORE_LINK_DELAY] = {begin_store_link_delay, heal_store_link},
	[FAULT_STORE_LINK_RESET] = {begin_store_link_reset, NULL},
	[FAULT_STORE_LINK_SILENCE] = {begin_store_link_silence, NULL},
	[FAULT_STORE_REFUSES_CALLS] = {begin_store_refuses_calls, end_store_refuses_calls},
	[FAULT_STORE_DOWN] = {begin_store_down, end_store_down},
	[FAULT_STORE_SLOW] = {begin_store_slow, end_store_slow},
	[FAULT_STORE_ANSWERS_LOST] = {begin_store_answers_lost, NULL},
	[FAULT_STORE_COMPACTED] = {begin_store_compacted, NULL},
	[FAULT_STORE_WATCHES_STALLED] = {begin_store_watches_stalled, end_store_watches_stalled},
	[FAULT_STORE_RESTORED] = {begin_store_restored, end_store_restored},
	[FAULT_PLATFORM_PAUSE] = {begin_platform_pause, NULL},
	[FAULT_PROMOTE_ANSWERS_LOST] = {begin_promote_answers_lost, end_promote_fault},
	[FAULT_PROMOTE_REFUSED] = {begin_promote_refused, end_promote_fault},
	[FAULT_CONFIG] = {begin_config, NULL},
	[FAULT_MEMBER_CRASH] = {begin_member_crash, end_member_crash},
	[FAULT_PRIMARY_CRASH] = {begin_primary_crash, start_service_members},
	[FAULT_MEMBER_REPLACE] = {begin_member_replace, end_member_replace},
	[FAULT_PRIMARY_REPLACE] = {begin_primary_replace, end_primary_replace},
	[FAULT_MEMBER_SLOW] = {begin_member_slow, end_member_slow},
	[FAULT_MEMBER_LAG] = {begin_member_lag, end_member_lag},
	[FAULT_MEMBER_ANSWERS_LOST] = {begin_member_answers_lost, NULL},
	[FAULT_MEMBER_CONNECTIONS_RESET] = {begin_member_connections_reset, NULL},
	[FAULT_MEMBER_REFUSES_STATEMENTS] = {begin_member_refuses_statements, NULL},
	[FAULT_MEMBER_REPLICATION_STALLED] = {begin_member_replication_stalled,
					      end_member_replication_stalled},
	[FAULT_MEMBER_LINK_CUT] = {begin_member_link_cut, heal_member_link},
	[FAULT_MEMBER_LINK_ONE_WAY] = {begin_member_link_one_way, heal_member_link},
	[FAULT_MEMBER_LINK_DELAY] = {begin_member_link_delay, heal_member_link},
	[FAULT_MEMBER_LINK_LIMIT] = {begin_member_link_limit, heal_member_link},
	[FAULT_MEMBER_LINK_RESET] = {begin_member_link_reset, NULL},
	[FAULT_MEMBER_LINK_SILENCE] = {begin_member_link_silence, NULL},
};

inject_t *inject_create(void *parent, fleet_t *fleet, const plan_t *plan, bool verbose)
{
	inject_t *inject = talloc_zero(parent, inject_t);

	inject->fleet = fleet;
	inject->plan = plan;
	inject->verbose = verbose;
	list_init(&inject->followups);
	return inject;
}

void inject_start(inject_t *inject, usec_t now)
{
	inject->started_at = now;
}

static void begin_fault(inject_t *inject, const fault_t *fault)
{
	const fault_handler_t *handler = &fault_handlers[fault->kind];

	if (inject->verbose)
		printf("%.3f %s target %u for %.3f s, amount %u\n",
		       (double)inject_now(inject) / USEC_PER_SEC, plan_fault_name(fault->kind),
		       fault->target, (double)fault->duration / USEC_PER_SEC, fault->amount);
	handler->begin(inject, fault);
	if (handler->end != NULL)
		schedule(inject, fault, fault->duration, handler->end);
}

/* A followup may schedule another one, which is appended to the list. */
static void run_due_followups(inject_t *inject, usec_t now)
{
	list_for_each_safe (it, &inject->followups) {
		followup_t *followup = list_entry(it, followup_t, node);

		if (now < followup->due_at)
			continue;
		followup->cb(inject, &followup->fault);
		list_del(&followup->node);
		talloc_free(followup);
	}
}

void inject_tick(inject_t *inject, usec_t now)
{
	const GArray *faults = inject->plan->faults;

	if (inject->started_at == 0)
		return;
	run_due_followups(inject, now);
	while (inject->next < faults->len) {
		const fault_t *fault = &g_array_index(faults, fault_t, inject->next);

		if (now < inject->started_at + fault->at)
			return;
		begin_fault(inject, fault);
		inject->next++;
	}
}

void inject_clear_pending(inject_t *inject)
{
	fleet_t *fleet = inject->fleet;

	fleet_send_command(fleet, "store lose 0");
	fleet_send_command(fleet, "store lose-keeps 0");
	for (unsigned i = 0; i < fleet->options.services * FLEET_MEMBERS; i++) {
		fleet_send_command(fleet, "member %u lose 0", i);
		fleet_send_command(fleet, "member %u reset 0", i);
		fleet_send_command(fleet, "member %u grey 0", i);
	}
}

bool inject_is_over(const inject_t *inject, usec_t now)
{
	return inject->started_at != 0 && now >= inject->started_at + inject->plan->length &&
	       inject->next == inject->plan->faults->len && list_empty(&inject->followups);
}
