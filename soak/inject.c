#include "inject.h"

#include <stdio.h>

#include <talloc.h>

#include "standin_command.h"

#define MSEC USEC_PER_MSEC
/* Statements that a member is to lose, reset or refuse come within this time, as a rule. */
#define COUNTED_SPAN (2 * USEC_PER_SEC)
/* From a member's end to the start of the one that replaces it. */
#define REPLACE_AFTER (1 * USEC_PER_SEC)

typedef void (*undo_cb_t)(inject_t *inject, const fault_t *fault);

typedef struct undo {
	list_t node;
	usec_t at;
	undo_cb_t cb;
	fault_t fault;
} undo_t;

typedef struct action {
	void (*play)(inject_t *inject, const fault_t *fault);
	undo_cb_t undo;
} action_t;

static usec_t now_of(const inject_t *inject)
{
	return clock_now(inject->fleet->loop->clock);
}

static unsigned proxy_of(const inject_t *inject, const fault_t *fault)
{
	return fault->target % inject->fleet->options.proxies;
}

static unsigned member_of(const inject_t *inject, const fault_t *fault)
{
	return fault->target % (inject->fleet->options.services * FLEET_MEMBERS);
}

static unsigned service_of(const inject_t *inject, const fault_t *fault)
{
	return fault->target % inject->fleet->options.services;
}

static void later(inject_t *inject, const fault_t *fault, usec_t delay, undo_cb_t cb)
{
	undo_t *undo = talloc_zero(inject, undo_t);

	undo->at = now_of(inject) + delay;
	undo->cb = cb;
	undo->fault = *fault;
	list_add_tail(&inject->undos, &undo->node);
}

/* --- proxies --- */

static void play_pause(inject_t *inject, const fault_t *fault)
{
	fleet_pause(inject->fleet, proxy_of(inject, fault), now_of(inject) + fault->duration);
}

static void play_kill(inject_t *inject, const fault_t *fault)
{
	fleet_kill(inject->fleet, proxy_of(inject, fault), fault->duration);
}

static void play_term(inject_t *inject, const fault_t *fault)
{
	fleet_term(inject->fleet, proxy_of(inject, fault), fault->duration);
}

/* The next proxy gets its signal amount ms later. */
static void roll_on(inject_t *inject, const fault_t *fault)
{
	fault_t next = *fault;

	fleet_term(inject->fleet, proxy_of(inject, fault), fault->duration);
	next.target++;
	/* In a large fleet it would go on beyond the last fault. */
	if (next.target < inject->fleet->options.proxies &&
	    now_of(inject) + fault->amount * MSEC < inject->started + inject->plan->length)
		later(inject, &next, fault->amount * MSEC, roll_on);
}

static void play_rolling_restart(inject_t *inject, const fault_t *fault)
{
	fault_t first = *fault;

	first.target = 0;
	roll_on(inject, &first);
}

static void play_hangup(inject_t *inject, const fault_t *fault)
{
	fleet_hangup(inject->fleet, proxy_of(inject, fault));
}

static void play_power_loss(inject_t *inject, const fault_t *fault)
{
	for (unsigned i = 0; i < inject->fleet->options.proxies; i++)
		fleet_kill(inject->fleet, i, fault->duration);
}

/* --- one proxy's way to the store --- */

static link_t *store_link(inject_t *inject, const fault_t *fault)
{
	proxy_t *proxy = &inject->fleet->proxies[proxy_of(inject, fault)];

	fleet_note_span(proxy->disturbed, now_of(inject), fault->duration);
	return proxy->store;
}

static void heal_store_link(inject_t *inject, const fault_t *fault)
{
	link_heal(store_link(inject, &(fault_t){.target = fault->target}));
}

static void play_store_link_cut(inject_t *inject, const fault_t *fault)
{
	link_t *link = store_link(inject, fault);

	link_cut(link, LINK_OUT);
	link_cut(link, LINK_BACK);
}

static void play_store_link_one_way(inject_t *inject, const fault_t *fault)
{
	link_cut(store_link(inject, fault), fault->amount % LINK_DIRECTIONS);
}

static void play_store_link_delay(inject_t *inject, const fault_t *fault)
{
	store_link(inject, fault)->delay = fault->amount * MSEC;
}

static void play_store_link_reset(inject_t *inject, const fault_t *fault)
{
	link_reset(store_link(inject, fault));
}

static void play_store_link_silence(inject_t *inject, const fault_t *fault)
{
	link_silence(store_link(inject, fault));
}

static void play_store_turns_away(inject_t *inject, const fault_t *fault)
{
	link_redirect(store_link(inject, fault), fleet_closed_door(inject->fleet));
}

static void let_in(inject_t *inject, const fault_t *fault)
{
	link_redirect(store_link(inject, &(fault_t){.target = fault->target}),
		      fleet_store_port(inject->fleet));
}

/* --- the platform --- */

static void play_store_down(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store down 1");
}

static void store_up(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store down 0");
}

static void play_store_slow(inject_t *inject, const fault_t *fault)
{
	fleet_command(inject->fleet, "store delay %u", fault->amount);
}

static void store_fast(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store delay 4");
}

static void play_store_loses(inject_t *inject, const fault_t *fault)
{
	fleet_command(inject->fleet, "store %s %u", fault->target % 3 == 0 ? "lose-keeps" : "lose",
		      fault->amount);
}

static void play_store_forgets(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store compact");
}

static void play_store_restored(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store copy");
}

static void store_restored(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store restore");
}

static void play_store_deaf(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store deaf 1");
}

static void store_hears(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "store deaf 0");
}

/* Members stand still too. */
static void play_platform_pause(inject_t *inject, const fault_t *fault)
{
	fleet_t *fleet = inject->fleet;

	for (unsigned i = 0; i < fleet->options.services; i++)
		fleet_note_span(fleet->member_trouble[i], now_of(inject), fault->duration);
	fleet_pause_platform(fleet, now_of(inject) + fault->duration);
}

static void play_promote_loses(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "cloud loses");
}

static void play_promote_refuses(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "cloud refuses");
}

static void promote_again(inject_t *inject, const fault_t *fault)
{
	(void)fault;
	fleet_command(inject->fleet, "cloud up");
}

static void play_config(inject_t *inject, const fault_t *fault)
{
	fleet_configure(inject->fleet, fault->amount);
}

/* --- members --- */

static void note_member(inject_t *inject, const fault_t *fault, usec_t duration)
{
	fleet_note_span(inject->fleet->member_trouble[member_of(inject, fault) / FLEET_MEMBERS],
			now_of(inject), duration);
}

static void command_member(inject_t *inject, const fault_t *fault, const char *word,
			   unsigned number)
{
	fleet_command(inject->fleet, "member %u %s %u", member_of(inject, fault), word, number);
}

static void play_member_crash(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, fault->duration);
	command_member(inject, fault, "crash", 0);
}

static void member_starts(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "start", 0);
}

/*
 * Whoever leads is crashed. In the end all members of the service are started, since another one
 * leads by then.
 */
static void play_leader_crash(inject_t *inject, const fault_t *fault)
{
	unsigned service = service_of(inject, fault);

	fleet_note_span(inject->fleet->member_trouble[service], now_of(inject), fault->duration);
	fleet_command(inject->fleet, "member %u crash", STANDIN_PRIMARY_OF + service);
}

static void service_starts(inject_t *inject, const fault_t *fault)
{
	unsigned first = service_of(inject, fault) * FLEET_MEMBERS;

	for (unsigned i = 0; i < FLEET_MEMBERS; i++)
		fleet_command(inject->fleet, "member %u start", first + i);
}

/* A planned end: it says that it leaves, serves on, ends, and another one comes in its place. */
static void play_member_replace(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "leave", 0);
}

static void replacement_starts(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, 0);
	command_member(inject, fault, "start", 0);
}

static void member_is_replaced(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, REPLACE_AFTER);
	command_member(inject, fault, "replace", ++inject->replaced);
	later(inject, fault, REPLACE_AFTER, replacement_starts);
}

/* The first member of a service leads at first, and later often does. */
static void play_leader_replace(inject_t *inject, const fault_t *fault)
{
	fleet_command(inject->fleet, "member %u leave",
		      STANDIN_PRIMARY_OF + service_of(inject, fault));
}

/* Who was told to leave may lead no more, so it is found by that. */
static void leader_is_replaced(inject_t *inject, const fault_t *fault)
{
	unsigned service = service_of(inject, fault);

	fleet_note_span(inject->fleet->member_trouble[service], now_of(inject), REPLACE_AFTER);
	fleet_command(inject->fleet, "leavers %u replace %u", service, ++inject->replaced);
	later(inject, fault, REPLACE_AFTER, service_starts);
}

static void play_member_slow(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, fault->duration);
	command_member(inject, fault, "slow", fault->amount);
}

static void member_fast(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "slow", 0);
}

static void play_member_lag(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "lag", fault->amount);
}

static void member_catches_up(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "lag", 0);
}

static void play_member_loses(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, COUNTED_SPAN);
	command_member(inject, fault, "lose", fault->amount);
}

static void play_member_resets(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, COUNTED_SPAN);
	command_member(inject, fault, "reset", fault->amount);
}

static void play_member_grey(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "grey", fault->amount);
}

static void play_member_deaf(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "deaf", 1);
}

static void member_hears(inject_t *inject, const fault_t *fault)
{
	command_member(inject, fault, "deaf", 0);
}

/* --- the ways to a member --- */

static link_t *member_link(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, fault->duration);
	return inject->fleet->members[member_of(inject, fault)];
}

static void heal_member_link(inject_t *inject, const fault_t *fault)
{
	link_heal(member_link(inject, &(fault_t){.target = fault->target}));
}

static void play_member_link_cut(inject_t *inject, const fault_t *fault)
{
	link_t *link = member_link(inject, fault);

	link_cut(link, LINK_OUT);
	link_cut(link, LINK_BACK);
}

static void play_member_link_one_way(inject_t *inject, const fault_t *fault)
{
	link_cut(member_link(inject, fault), fault->amount % LINK_DIRECTIONS);
}

static void play_member_link_delay(inject_t *inject, const fault_t *fault)
{
	member_link(inject, fault)->delay = fault->amount * MSEC;
}

static void play_member_link_limit(inject_t *inject, const fault_t *fault)
{
	member_link(inject, fault)->rate = fault->amount;
}

static void play_member_link_reset(inject_t *inject, const fault_t *fault)
{
	link_reset(member_link(inject, fault));
}

static void play_member_link_silence(inject_t *inject, const fault_t *fault)
{
	note_member(inject, fault, COUNTED_SPAN);
	link_silence(member_link(inject, fault));
}

/* --- the plan --- */

static const action_t actions[FAULT_COUNT] = {
	[FAULT_PAUSE] = {play_pause, NULL},
	[FAULT_KILL] = {play_kill, NULL},
	[FAULT_TERM] = {play_term, NULL},
	[FAULT_ROLLING_RESTART] = {play_rolling_restart, NULL},
	[FAULT_HANGUP] = {play_hangup, NULL},
	[FAULT_POWER_LOSS] = {play_power_loss, NULL},
	[FAULT_STORE_LINK_CUT] = {play_store_link_cut, heal_store_link},
	[FAULT_STORE_LINK_ONE_WAY] = {play_store_link_one_way, heal_store_link},
	[FAULT_STORE_LINK_DELAY] = {play_store_link_delay, heal_store_link},
	[FAULT_STORE_LINK_RESET] = {play_store_link_reset, NULL},
	[FAULT_STORE_LINK_SILENCE] = {play_store_link_silence, NULL},
	[FAULT_STORE_TURNS_AWAY] = {play_store_turns_away, let_in},
	[FAULT_STORE_DOWN] = {play_store_down, store_up},
	[FAULT_STORE_SLOW] = {play_store_slow, store_fast},
	[FAULT_STORE_LOSES] = {play_store_loses, NULL},
	[FAULT_STORE_FORGETS] = {play_store_forgets, NULL},
	[FAULT_STORE_DEAF] = {play_store_deaf, store_hears},
	[FAULT_STORE_RESTORED] = {play_store_restored, store_restored},
	[FAULT_PLATFORM_PAUSE] = {play_platform_pause, NULL},
	[FAULT_PROMOTE_LOSES] = {play_promote_loses, promote_again},
	[FAULT_PROMOTE_REFUSES] = {play_promote_refuses, promote_again},
	[FAULT_CONFIG] = {play_config, NULL},
	[FAULT_MEMBER_CRASH] = {play_member_crash, member_starts},
	[FAULT_LEADER_CRASH] = {play_leader_crash, service_starts},
	[FAULT_MEMBER_REPLACE] = {play_member_replace, member_is_replaced},
	[FAULT_LEADER_REPLACE] = {play_leader_replace, leader_is_replaced},
	[FAULT_MEMBER_SLOW] = {play_member_slow, member_fast},
	[FAULT_MEMBER_LAG] = {play_member_lag, member_catches_up},
	[FAULT_MEMBER_LOSES] = {play_member_loses, NULL},
	[FAULT_MEMBER_RESETS] = {play_member_resets, NULL},
	[FAULT_MEMBER_GREY] = {play_member_grey, NULL},
	[FAULT_MEMBER_DEAF] = {play_member_deaf, member_hears},
	[FAULT_MEMBER_LINK_CUT] = {play_member_link_cut, heal_member_link},
	[FAULT_MEMBER_LINK_ONE_WAY] = {play_member_link_one_way, heal_member_link},
	[FAULT_MEMBER_LINK_DELAY] = {play_member_link_delay, heal_member_link},
	[FAULT_MEMBER_LINK_LIMIT] = {play_member_link_limit, heal_member_link},
	[FAULT_MEMBER_LINK_RESET] = {play_member_link_reset, NULL},
	[FAULT_MEMBER_LINK_SILENCE] = {play_member_link_silence, NULL},
};

inject_t *inject_create(void *parent, fleet_t *fleet, const plan_t *plan, bool verbose)
{
	inject_t *inject = talloc_zero(parent, inject_t);

	inject->fleet = fleet;
	inject->plan = plan;
	inject->verbose = verbose;
	list_init(&inject->undos);
	return inject;
}

void inject_start(inject_t *inject, usec_t now)
{
	inject->started = now;
}

static void play(inject_t *inject, const fault_t *fault)
{
	const action_t *action = &actions[fault->kind];

	if (inject->verbose)
		printf("%.3f %s target %u for %.3f s, amount %u\n",
		       (double)now_of(inject) / USEC_PER_SEC, plan_fault_name(fault->kind),
		       fault->target, (double)fault->duration / USEC_PER_SEC, fault->amount);
	action->play(inject, fault);
	if (action->undo != NULL)
		later(inject, fault, fault->duration, action->undo);
}

/* Undoing one may put off the next part of it. */
static void undo_due(inject_t *inject, usec_t now)
{
	list_for_each_safe (it, &inject->undos) {
		undo_t *undo = list_entry(it, undo_t, node);

		if (now < undo->at)
			continue;
		undo->cb(inject, &undo->fault);
		list_del(&undo->node);
		talloc_free(undo);
	}
}

void inject_tick(inject_t *inject, usec_t now)
{
	const GArray *faults = inject->plan->faults;

	if (inject->started == 0)
		return;
	undo_due(inject, now);
	while (inject->next < faults->len) {
		const fault_t *fault = &g_array_index(faults, fault_t, inject->next);

		if (now < inject->started + fault->at)
			return;
		play(inject, fault);
		inject->next++;
	}
}

void inject_end(inject_t *inject)
{
	fleet_t *fleet = inject->fleet;

	fleet_command(fleet, "store lose 0");
	fleet_command(fleet, "store lose-keeps 0");
	for (unsigned i = 0; i < fleet->options.services * FLEET_MEMBERS; i++) {
		fleet_command(fleet, "member %u lose 0", i);
		fleet_command(fleet, "member %u reset 0", i);
		fleet_command(fleet, "member %u grey 0", i);
	}
}

bool inject_is_over(const inject_t *inject, usec_t now)
{
	return inject->started != 0 && now >= inject->started + inject->plan->length &&
	       inject->next == inject->plan->faults->len && list_empty(&inject->undos);
}
