#include "tablesync.h"

#include <string.h>

#include <talloc.h>

#include "group.h"
#include "peers.h"
#include "watch.h"

/* The key for which rendezvous hashing selects the store watchers. */
#define STORE_WATCHERS_KEY "table"
/* The least time between two pulls while the first has not been answered by a push. */
#define PULL_INTERVAL (100 * USEC_PER_MSEC)
/* A load without an answer for this time is abandoned. */
#define LOAD_TIMEOUT (3 * USEC_PER_SEC)
/* Limit for the whole fleet on queries of the platform's list: a large fleet polls less often. */
#define VM_CALLS_PER_SECOND 50

static void on_store_timer(run_timer_t *timer, usec_t now);
static void on_vm_timer(run_timer_t *timer, usec_t now);

/* Confirmations from before this time have expired; never 0, which stands for "none". */
static usec_t oldest_valid_time(const core_t *core)
{
	usec_t stale = core->config.timings.table_max_age;

	return core->now > stale ? core->now - stale : 1;
}

bool tablesync_reaches_majority(const core_t *core)
{
	return fleet_majority_is_alive(core->fleet, oldest_valid_time(core));
}

bool table_is_current(const core_t *core)
{
	if (core->table->version == 0)
		return false;
	if (core->table_current_at != 0 && core->table_current_at >= oldest_valid_time(core))
		return true;
	return tablesync_reaches_majority(core);
}

static bool is_store_watcher(core_t *core)
{
	fleet_rank(core->fleet, STORE_WATCHERS_KEY, &core->store_watchers);
	for (size_t i = 0; i < core->store_watchers.len; i++) {
		if (core->store_watchers.proxies[i]->self)
			return true;
	}
	return false;
}

static void load_table(core_t *core)
{
	action_t *action;

	if (core->load_id != 0 && core->now - core->load_sent < LOAD_TIMEOUT)
		return;
	action = core_add_action(core, ACTION_STORE_LOAD);
	core->load_id = core_next_id(core);
	core->load_sent = core->now;
	action->id = core->load_id;
	action->load.table_version = core->table->version;
	action->load.head_revision = core->head_revision;
}

static usec_t add_jitter(core_t *core, usec_t base)
{
	return base + core_random(core, base / 2 + 1);
}

/* Store watchers load regularly, others only if their table was not confirmed recently. */
static void on_store_timer(run_timer_t *timer, usec_t now)
{
	core_t *core = list_entry(timer, core_t, store_timer);
	const core_timings_t *timings = &core->config.timings;
	usec_t stale = timings->table_max_age / 2;
	bool is_unconfirmed = core->table->version == 0 || now - core->table_current_at > stale;

	timers_arm(&core->timers, timer, now + add_jitter(core, timings->store_check_interval),
		   on_store_timer);
	if (is_store_watcher(core) || is_unconfirmed)
		load_table(core);
}

static void on_vm_timer(run_timer_t *timer, usec_t now)
{
	core_t *core = list_entry(timer, core_t, vm_timer);
	usec_t spread = HASH_COUNT(core->fleet->proxies) * USEC_PER_SEC / VM_CALLS_PER_SECOND;
	usec_t interval = core->config.timings.vm_poll_interval;
	action_t *action = core_add_action(core, ACTION_VMS);

	action->id = core_next_id(core);
	timers_arm(&core->timers, timer,
		   now + add_jitter(core, interval > spread ? interval : spread), on_vm_timer);
}

void tablesync_start(core_t *core)
{
	on_store_timer(&core->store_timer, core->now);
	on_vm_timer(&core->vm_timer, core->now);
}

void tablesync_set_current_at(core_t *core, usec_t at)
{
	if (at > core->table_current_at)
		core->table_current_at = at;
}

int tablesync_merge(core_t *core, const table_entry_t *entries, size_t count, uint64_t version,
		    const char *source)
{
	uint64_t before = core->table->version;
	err_t err = {0};
	int changed = table_merge(core->table, entries, count, version, &err);

	if (changed < 0) {
		core_log(core, true, "table entry unreadable source=%s peer=%s: %s", source,
			 err.peer, err.text);
		return changed;
	}
	if (core->table->version == before)
		return 0;
	core_log(core, false, "table in force version=%llu changed=%d source=%s",
		 (unsigned long long)core->table->version, changed, source);
	watch_update_groups(core);
	peers_send_heartbeats(core);
	return changed;
}

static void pull_table(core_t *core, const proxy_t *from)
{
	message_t message = {.kind = MESSAGE_TABLE_PULL, .since = core->table->version};

	if (core->last_pull != 0 && core->now - core->last_pull < PULL_INTERVAL)
		return;
	core->last_pull = core->now;
	peers_send(core, from->name, &message);
}

void tablesync_on_heartbeat(core_t *core, proxy_t *from, const message_t *message)
{
	if (message->table_version > core->table->version) {
		pull_table(core, from);
		return;
	}
	/* The message was sent after the clock reading that it echoes, so that bounds its age. */
	if (message->table_version < core->table->version || message->store_age == USEC_NEVER ||
	    message->echo <= message->store_age)
		return;
	tablesync_set_current_at(core, message->echo - message->store_age);
}

void tablesync_on_pull(core_t *core, proxy_t *from, const message_t *message)
{
	message_t push = {.kind = MESSAGE_TABLE_PUSH, .table_version = core->table->version};

	if (core->table->version <= message->since)
		return;
	push.entries = table_changes_since(core, core->table, message->since, &push.entry_count);
	push.since = message->since;
	peers_send(core, from->name, &push);
	talloc_free(push.entries);
}

void tablesync_on_push(core_t *core, proxy_t *from, const message_t *message)
{
	/* A push that starts after the version held here would leave out the changes in between. */
	if (message->since > core->table->version)
		return;
	core->last_pull = 0;
	tablesync_merge(core, message->entries, message->entry_count, message->table_version,
			from->name);
}

static void watch_store(core_t *core)
{
	action_t *action;

	if (core->watching_store || !is_store_watcher(core))
		return;
	core->watching_store = true;
	action = core_add_action(core, ACTION_STORE_WATCH);
	action->id = core_next_id(core);
	action->load.head_revision = core->head_revision;
	action->load.table_version = core->table->version;
}

void tablesync_on_load(core_t *core, uint64_t id, const store_event_t *event)
{
	bool is_own_load = id == core->load_id;
	usec_t requested_at = is_own_load ? core->load_sent : core->now;

	if (is_own_load)
		core->load_id = 0;
	if (event->status != STORE_OK)
		return;
	/* A watch delivers single edits: after a gap, load the table to get those in between. */
	if (!is_own_load && event->table_version > core->table->version + 1) {
		load_table(core);
		return;
	}
	if (tablesync_merge(core, event->entries, event->entry_count, event->table_version,
			    "store") < 0)
		return;
	if (event->head_revision > core->head_revision)
		core->head_revision = event->head_revision;
	/* A store restored from a backup may be older; accepted edits stay in force here. */
	if (event->table_version == core->table->version)
		tablesync_set_current_at(core, requested_at);
	watch_store(core);
}

void tablesync_on_watch_down(core_t *core)
{
	core->watching_store = false;
}

void tablesync_on_vms(core_t *core, const vms_event_t *event)
{
	vm_t *proxies;
	size_t count = 0;

	if (event->status != STORE_OK)
		return;
	proxies = talloc_array(core, vm_t, event->count + 1);
	for (size_t i = 0; i < event->count; i++) {
		if (!event->vms[i].backend)
			proxies[count++] = event->vms[i];
	}
	fleet_apply_list(core->fleet, core->now, proxies, count, core->config.timings.forget_after);
	talloc_free(proxies);
	groups_apply_vms(core, event->vms, event->count);
}
