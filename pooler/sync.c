#include "sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "adopt.h"
#include "ask.h"
#include "dispatch.h"
#include "exchange.h"
#include "home.h"
#include "join.h"
#include "leader.h"
#include "permit.h"
#include "push.h"
#include "refresh.h"
#include "restore.h"
#include "upstream.h"

#define LOG_MODULE "sync"
#include "counter.h"
#include "log.h"

/*
 * Age of the roster's last confirmation at which the leader reads the roster again. While its
 * renewals of the lease succeed (RENEW_INTERVAL, 400 ms) they confirm the roster, since only the
 * leader changes groups, and READ_LEADER_INTERVAL alone applies: one read a second.
 */
#define READ_LEADER_AGE (700 * USEC_PER_MSEC)
/*
 * The leader reads at least this often: a lease that is in force does not show that its key still
 * exists, nor that no proxy has added itself to the roster.
 */
#define READ_LEADER_INTERVAL (1 * USEC_PER_SEC)
/*
 * Age of the last confirmation at which a proxy of a fleet without hubs reads the roster while no
 * state of the leader arrives, plus half of READ_JITTER: the leadership may be vacant.
 */
#define READ_VACANT_INTERVAL (400 * USEC_PER_MSEC)
/*
 * A proxy whose roster was not confirmed for this time reads the store itself; jitter is added so
 * that not all proxies read at once.
 */
#define READ_AGE    (900 * USEC_PER_MSEC)
#define READ_JITTER (300 * USEC_PER_MSEC)
/* The same for updates that arrive through a hub, which takes one more query interval. */
#define READ_DOWNSTREAM_AGE (1200 * USEC_PER_MSEC)
/*
 * Back-off after a failed read, plus up to as much jitter. In a larger fleet it grows, so that all
 * proxies together make some 40 attempts a second; the first that succeeds informs the others.
 */
#define READ_BACKOFF	       (150 * USEC_PER_MSEC)
#define READ_BACKOFF_MAX       (1 * USEC_PER_SEC)
#define READ_BACKOFF_PER_PROXY (20 * USEC_PER_MSEC)

COUNTER_DEFINE(roster_reads, "roster_reads_total", COUNTER_SUM, "Reads of the roster.");
COUNTER_DEFINE(roster_failed, "roster_reads_failed_total", COUNTER_SUM,
	       "Reads of the roster that failed.");

char *sync_make_key(void *parent, const pooler_t *pooler, const char *name)
{
	return talloc_asprintf(parent, "%s%s", pooler->config.prefix, name);
}

void sync_init(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;

	sync->confirmed_at = USEC_NEVER;
	sync->roster = roster_create(pooler);
	list_init(&sync->reports);
	list_init(&sync->unanswered_reports);
	list_init(&sync->joiners);
}

void sync_destroy(pooler_t *pooler)
{
	HASH_CLEAR(hh, pooler->sync.reports_by_name);
	talloc_free(pooler->sync.roster);
}

void sync_dispatch_waiting(pooler_t *pooler)
{
	list_for_each (it, &pooler->active_services)
		dispatch_run(list_entry(it, service_t, active));
}

void sync_confirm_roster(pooler_t *pooler, usec_t asked_at)
{
	sync_t *sync = &pooler->sync;

	if (sync->confirmed_at == USEC_NEVER || asked_at > sync->confirmed_at)
		sync->confirmed_at = asked_at;
}

/* --- leader --- */

void sync_set_leader(pooler_t *pooler, const char *name, const char *address, uint64_t token)
{
	sync_t *sync = &pooler->sync;
	bool is_recorded = sync->leader != NULL && token == sync->fencing_token;

	if (is_recorded || token < sync->fencing_token)
		return;
	/*
	 * Another proxy leads under a newer fencing token, whichever message brought it: our
	 * leadership ends, so that two proxies never promote under one token.
	 */
	if (sync->leading && token > sync->own_token)
		leader_step_down(pooler, "another proxy is the leader");
	talloc_free(sync->leader);
	talloc_free(sync->leader_address);
	sync->leader = talloc_strdup(pooler, name);
	sync->leader_address = talloc_strdup(pooler, address);
	sync->fencing_token = token;
	sync->leader_seen_at = now_of(pooler);
	sync->query_next = 0;
	LOG_EVENT(LOG_INFO, "leader changed", LOG_STR("holder", name),
		  LOG_INT("fence", (int64_t)token));
}

static void clear_leader(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;

	talloc_free(sync->leader);
	talloc_free(sync->leader_address);
	sync->leader = NULL;
	sync->leader_address = NULL;
}

/* Applies the leader's entry in the store; item NULL: there is none. */
static void apply_leader_item(pooler_t *pooler, const kv_item_t *item, usec_t asked_at)
{
	sync_t *sync = &pooler->sync;
	json_t *value;
	const char *name;
	const char *address;
	json_int_t incarnation;

	if (item == NULL) {
		/* A read that was sent before we became the leader may lack our key. */
		if (sync->leading && asked_at > sync->leading_since)
			leader_step_down(pooler, "the leader key is gone from the store");
		clear_leader(pooler);
		return;
	}
	value = json_loadb(item->value, item->len, 0, NULL);
	if (json_unpack(value, "{s:s, s:s, s:I}", "name", &name, "address", &address, "incarnation",
			&incarnation) == 0) {
		if (strcmp(name, pooler->config.name) == 0) {
			leader_on_own_key(pooler, (uint64_t)incarnation,
					  (uint64_t)item->create_revision);
			if ((uint64_t)incarnation < pooler->config.incarnation)
				leader_end_former_lease(pooler, item->lease);
		}
		sync_set_leader(pooler, name, address, (uint64_t)item->create_revision);
	}
	json_decref(value);
}

/* --- reading the store --- */

static void apply_roster_item(pooler_t *pooler, const kv_item_t *item)
{
	roster_t *roster;

	if (item->revision <= pooler->sync.roster->revision)
		return;
	roster = roster_decode(NULL, item->value, item->len, item->revision);
	if (roster == NULL)
		LOG_EVENT(LOG_ERR, "roster in the store is invalid", LOG_STR("key", item->key),
			  LOG_INT("revision", item->revision));
	else if (roster->era < kv_era(item->revision))
		restore_on_backup(pooler, roster, item->revision);
	else
		adopt_roster(pooler, roster);
}

static const kv_item_t *find_item(const kv_result_t *result, const char *key)
{
	for (size_t i = 0; i < result->count; i++) {
		if (strcmp(result->items[i].key, key) == 0)
			return &result->items[i];
	}
	return NULL;
}

static void log_store_recovery(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (sync->last_read_at != 0 && sync->read_not_before > sync->last_read_at)
		LOG_EVENT(LOG_INFO, "store answers again",
			  LOG_INT("silent_ms",
				  (int64_t)((now - sync->last_read_at) / USEC_PER_MSEC)));
}

static usec_t read_backoff(const pooler_t *pooler)
{
	usec_t base = pooler->sync.proxy_count * READ_BACKOFF_PER_PROXY;

	return usec_clamp(base, READ_BACKOFF, READ_BACKOFF_MAX);
}

static void on_read(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	char *roster_key = sync_make_key(NULL, pooler, "roster");
	char *leader_key = sync_make_key(roster_key, pooler, "holder");
	const kv_item_t *item;

	sync->reading = false;
	if (result->status != KV_OK) {
		if (sync->read_not_before <= sync->last_read_at)
			LOG_EVENT(LOG_WARN, "store does not answer",
				  LOG_INT("status", result->status));
		counter_add(&roster_failed, 1);
		sync->read_not_before =
			now + read_backoff(pooler) + pooler_random(pooler, read_backoff(pooler));
		talloc_free(roster_key);
		return;
	}
	log_store_recovery(pooler, now);
	adopt_era(sync, result->as_of);
	sync->last_read_at = now;
	item = find_item(result, roster_key);
	if (item != NULL)
		apply_roster_item(pooler, item);
	if ((item != NULL ? item->revision : 0) == sync->roster->revision)
		sync_confirm_roster(pooler, sync->read_sent_at);
	apply_leader_item(pooler, find_item(result, leader_key), sync->read_sent_at);
	talloc_free(roster_key);
	refresh_start_reading(pooler, now);
	/*
	 * Joining does not wait for the next tick: the proxies of a fleet that starts write their
	 * entries one after another.
	 */
	join_run(pooler, now);
	if (!permit_is_registered(pooler))
		home_connect(pooler, now);
	sync_dispatch_waiting(pooler);
}

static void read_store(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);

	sync->reading = true;
	sync->roster_maybe_stale = false;
	sync->read_sent_at = now;
	sync->read_jitter = pooler_random(pooler, READ_JITTER);
	counter_add(&roster_reads, 1);
	kv->ops->range(kv, pooler->config.prefix, "", on_read, pooler);
}

static bool read_is_due(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t max_age =
		(upstream_uses_hubs(pooler) ? READ_DOWNSTREAM_AGE : READ_AGE) + sync->read_jitter;

	if (sync->roster_maybe_stale ||
	    (leader_is_self(pooler, now) && now >= sync->last_read_at + READ_LEADER_INTERVAL))
		max_age = 0;
	else if (leader_is_self(pooler, now))
		max_age = READ_LEADER_AGE;
	/* The leadership may be vacant: the first proxy that sees this acquires it. */
	else if (now >= sync->leader_seen_at + LEADER_SILENT_AFTER && !upstream_uses_hubs(pooler))
		max_age = READ_VACANT_INTERVAL + sync->read_jitter / 2;

	if (sync->reading || now < sync->read_not_before)
		return false;
	return sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + max_age;
}

/* --- writing the roster --- */

typedef struct commit {
	pooler_t *pooler;
	usec_t sent_at;
	roster_t *roster;
	int64_t expected;
	kv_done_t done;
	void *data;
} commit_t;

/* Handles a conflict of the write; the answer holds the present content of the store. */
static void on_conflict(commit_t *commit, const kv_result_t *result)
{
	pooler_t *pooler = commit->pooler;
	char *key = sync_make_key(commit, pooler, "roster");
	const kv_item_t *item = find_item(result, key);

	if (item == NULL) {
		if (!pooler->sync.reading)
			read_store(pooler, now_of(pooler));
		return;
	}
	/* No proxy has written the roster, so the conflict means that our leadership has ended. */
	if (item->revision == commit->expected)
		pooler->sync.roster_maybe_stale = true;
	apply_roster_item(pooler, item);
	if (item->revision == pooler->sync.roster->revision)
		sync_confirm_roster(pooler, commit->sent_at);
	sync_dispatch_waiting(pooler);
}

/* True if a primary changed: proxies that use it must be notified at once. */
static bool has_primary_change(const roster_t *old_roster, const roster_t *new_roster)
{
	list_for_each (it, &new_roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);
		const roster_group_t *before = roster_find_group(old_roster, group->service);

		if (before == NULL || before->changing != group->changing ||
		    strcmp(before->primary, group->primary) != 0)
			return true;
	}
	return false;
}

static void on_committed(void *data, const kv_result_t *result)
{
	commit_t *commit = data;
	pooler_t *pooler = commit->pooler;
	bool push;

	if (result->status == KV_OK && result->as_of > pooler->sync.roster->revision) {
		push = has_primary_change(pooler->sync.roster, commit->roster);
		commit->roster->revision = result->as_of;
		adopt_roster(pooler, commit->roster);
		if (push)
			push_fleet(pooler);
		sync_dispatch_waiting(pooler);
	} else if (result->status == KV_CONFLICT) {
		on_conflict(commit, result);
	} else {
		pooler->sync.roster_maybe_stale = true;
	}
	commit->done(commit->data, result);
	talloc_free(commit);
}

void sync_commit_roster(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data)
{
	kv_t *kv = pooler_store(pooler);
	commit_t *commit = talloc_zero(pooler, commit_t);
	char *key = sync_make_key(commit, pooler, "roster");
	int64_t expected =
		restore_is_pending(pooler) ? pooler->sync.backup_revision : roster->revision;
	kv_write_t writes[2] = {{.key = key, .expected = expected}};
	size_t count = 1;

	commit->pooler = pooler;
	commit->sent_at = now_of(pooler);
	commit->expected = expected;
	commit->roster = roster_copy(commit, roster);
	commit->roster->era = expected != 0 ? kv_era(expected) : pooler->sync.era;
	roster_set_writer(commit->roster, pooler->config.name);
	writes[0].value = roster_encode(commit->roster);
	/*
	 * A write of ours that reaches the store after our leadership has ended must fail: the next
	 * leader relies on being the only writer of groups, and would go on sending the fleet the
	 * previous primary.
	 */
	if (pooler->sync.leading)
		writes[count++] = (kv_write_t){.key = sync_make_key(commit, pooler, "holder"),
					       .expected = (int64_t)pooler->sync.own_token,
					       .check_only = true};
	commit->done = done;
	commit->data = data;
	kv->ops->commit(kv, writes, count, on_committed, commit);
}

void sync_tick(pooler_t *pooler, usec_t now)
{
	if (read_is_due(pooler, now))
		read_store(pooler, now);
	restore_write_roster(pooler, now);
	join_run(pooler, now);
}
