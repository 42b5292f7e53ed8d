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
#include "join.h"
#include "leader.h"
#include "push.h"
#include "refresh.h"
#include "restore.h"
#include "upstream.h"

#define LOG_MODULE "sync"
#include "counter.h"
#include "log.h"

/*
 * News of this age makes the holder read the roster. Its renewals bring newer ones as a rule, since
 * only the holder changes groups: 2.5 reads a second less, for a quiet fleet of 19 a third of all
 * its calls to the store. A vacant duty is looked for as often.
 */
#define READ_HOLDER (700 * USEC_PER_MSEC)
/*
 * It reads this often all the same: a lease that lives does not prove that the key is there, nor
 * that no proxy has put itself on the roster.
 */
#define READ_HOLDER_MOST (1 * USEC_PER_SEC)
/* Between two looks for a vacant duty. */
#define READ_VACANT (400 * USEC_PER_MSEC)
/* A proxy that heard nothing for so long reads itself; plus jitter, so that not all do. */
#define READ_OTHERS (900 * USEC_PER_MSEC)
#define READ_JITTER (300 * USEC_PER_MSEC)
/* The same where the news comes by a hub, one question later. */
#define READ_BELOW (1200 * USEC_PER_MSEC)
/*
 * After a read that failed, plus as much jitter; longer in a larger fleet, so that all of it makes
 * some 40 tries a second: whoever succeeds tells the others.
 */
#define READ_BACKOFF	  (150 * USEC_PER_MSEC)
#define READ_BACKOFF_MOST (1 * USEC_PER_SEC)
#define READ_BACKOFF_ALL  (20 * USEC_PER_MSEC)

COUNTER_DEFINE(roster_reads, "roster_reads_total", COUNTER_SUM, "Reads of the roster.");
COUNTER_DEFINE(roster_failed, "roster_reads_failed_total", COUNTER_SUM,
	       "Reads of the roster that failed.");

char *sync_key(void *parent, const pooler_t *pooler, const char *name)
{
	return talloc_asprintf(parent, "%s%s", pooler->config.prefix, name);
}

void sync_init(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;

	sync->confirmed_at = USEC_NEVER;
	sync->roster = roster_create(pooler);
	list_init(&sync->reports);
	list_init(&sync->awaited);
	list_init(&sync->joiners);
}

void sync_destroy(pooler_t *pooler)
{
	HASH_CLEAR(hh, pooler->sync.by_name);
	talloc_free(pooler->sync.roster);
}

void sync_run_services(pooler_t *pooler)
{
	list_for_each (it, &pooler->active_services)
		dispatch_run(list_entry(it, service_t, active));
}

/* The store held the revision of our roster when asked at this time, or later. */
void sync_confirm(pooler_t *pooler, usec_t asked_at)
{
	sync_t *sync = &pooler->sync;

	if (sync->confirmed_at == USEC_NEVER || asked_at > sync->confirmed_at)
		sync->confirmed_at = asked_at;
}

/* --- who holds the duty --- */

void sync_set_holder(pooler_t *pooler, const char *name, const char *address, uint64_t fence)
{
	sync_t *sync = &pooler->sync;
	bool known = sync->holder != NULL && fence == sync->fence;

	if (known || fence < sync->fence)
		return;
	/* Two with one token must never promote, however we hear of the other. */
	if (sync->holding && fence > sync->own_fence)
		leader_step_down(pooler, "another proxy holds it");
	talloc_free(sync->holder);
	talloc_free(sync->holder_address);
	sync->holder = talloc_strdup(pooler, name);
	sync->holder_address = talloc_strdup(pooler, address);
	sync->fence = fence;
	sync->holder_heard = now_of(pooler);
	sync->ask_next = 0;
	LOG_EVENT(LOG_INFO, "duty holder", LOG_STR("holder", name),
		  LOG_INT("fence", (int64_t)fence));
}

static void forget_holder(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;

	talloc_free(sync->holder);
	talloc_free(sync->holder_address);
	sync->holder = NULL;
	sync->holder_address = NULL;
}

/* What the store says of the holder; item NULL: there is none. */
static void on_holder_item(pooler_t *pooler, const kv_item_t *item, usec_t asked_at)
{
	sync_t *sync = &pooler->sync;
	json_t *value;
	const char *name;
	const char *address;
	json_int_t incarnation;

	if (item == NULL) {
		/* A read that was sent before we got hold of it proves nothing. */
		if (sync->holding && asked_at > sync->held_since)
			leader_step_down(pooler, "the store no longer has the key");
		forget_holder(pooler);
		return;
	}
	value = json_loadb(item->value, item->len, 0, NULL);
	if (json_unpack(value, "{s:s, s:s, s:I}", "name", &name, "address", &address, "incarnation",
			&incarnation) == 0) {
		if (strcmp(name, pooler->config.name) == 0) {
			leader_on_own_key(pooler, (uint64_t)incarnation, (uint64_t)item->created);
			if ((uint64_t)incarnation < pooler->config.incarnation)
				leader_end_former_lease(pooler, item->lease);
		}
		sync_set_holder(pooler, name, address, (uint64_t)item->created);
	}
	json_decref(value);
}

/* --- reading the store --- */

static void on_roster_item(pooler_t *pooler, const kv_item_t *item)
{
	roster_t *roster;

	if (item->revision <= pooler->sync.roster->revision)
		return;
	roster = roster_decode(NULL, item->value, item->len, item->revision);
	if (roster == NULL)
		LOG_EVENT(LOG_ERR, "roster can't be read", LOG_STR("key", item->key),
			  LOG_INT("revision", item->revision));
	else if (roster->era < kv_era(item->revision))
		restore_on_copy(pooler, roster, item->revision);
	else
		adopt_roster(pooler, roster);
}

static const kv_item_t *item_named(const kv_result_t *result, const char *key)
{
	for (size_t i = 0; i < result->count; i++) {
		if (strcmp(result->items[i].key, key) == 0)
			return &result->items[i];
	}
	return NULL;
}

static void log_store_back(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (sync->last_read_ok != 0 && sync->read_after > sync->last_read_ok)
		LOG_EVENT(LOG_INFO, "store answers again",
			  LOG_INT("silent_ms",
				  (int64_t)((now - sync->last_read_ok) / USEC_PER_MSEC)));
}

static usec_t read_backoff(const pooler_t *pooler)
{
	usec_t base = pooler->sync.proxies * READ_BACKOFF_ALL;

	return usec_clamp(base, READ_BACKOFF, READ_BACKOFF_MOST);
}

static void on_read(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	char *roster_key = sync_key(NULL, pooler, "roster");
	char *holder_key = sync_key(roster_key, pooler, "holder");
	const kv_item_t *item;

	sync->reading = false;
	if (result->status != KV_OK) {
		if (sync->read_after <= sync->last_read_ok)
			LOG_EVENT(LOG_WARN, "store does not answer",
				  LOG_INT("status", result->status));
		counter_add(&roster_failed, 1);
		sync->read_after =
			now + read_backoff(pooler) + pooler_random(pooler, read_backoff(pooler));
		talloc_free(roster_key);
		return;
	}
	log_store_back(pooler, now);
	adopt_era(sync, result->as_of);
	sync->last_read_ok = now;
	item = item_named(result, roster_key);
	if (item != NULL)
		on_roster_item(pooler, item);
	if ((item != NULL ? item->revision : 0) == sync->roster->revision)
		sync_confirm(pooler, sync->read_sent);
	on_holder_item(pooler, item_named(result, holder_key), sync->read_sent);
	talloc_free(roster_key);
	refresh_begin(pooler, now);
	/* At once: a fleet that starts together takes turns at this, one write after another. */
	join_run(pooler, now);
	sync_run_services(pooler);
}

static void read_store(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);

	sync->reading = true;
	sync->behind = false;
	sync->read_sent = now;
	sync->read_jitter = pooler_random(pooler, READ_JITTER);
	counter_add(&roster_reads, 1);
	kv->ops->range(kv, pooler->config.prefix, "", on_read, pooler);
}

static bool must_read(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t most = (upstream_applies(pooler) ? READ_BELOW : READ_OTHERS) + sync->read_jitter;

	if (sync->behind ||
	    (leader_is_self(pooler, now) && now >= sync->last_read_ok + READ_HOLDER_MOST))
		most = 0;
	else if (leader_is_self(pooler, now))
		most = READ_HOLDER;
	/* The duty may become vacant: whoever sees that first takes it. */
	else if (now >= sync->holder_heard + HOLDER_SILENT && !upstream_applies(pooler))
		most = READ_VACANT + sync->read_jitter / 2;

	if (sync->reading || now < sync->read_after)
		return false;
	return sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + most;
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

/* The write failed, and what the store holds instead came with the answer. */
static void on_conflict(commit_t *commit, const kv_result_t *result)
{
	pooler_t *pooler = commit->pooler;
	char *key = sync_key(commit, pooler, "roster");
	const kv_item_t *item = item_named(result, key);

	if (item == NULL) {
		if (!pooler->sync.reading)
			read_store(pooler, now_of(pooler));
		return;
	}
	/* Nobody has written the roster, so it is the hold that has ended. */
	if (item->revision == commit->expected)
		pooler->sync.behind = true;
	on_roster_item(pooler, item);
	if (item->revision == pooler->sync.roster->revision)
		sync_confirm(pooler, commit->sent_at);
	sync_run_services(pooler);
}

/* Whoever uses a primary that changes must hear of it at once. */
static bool differs_in_groups(const roster_t *was, const roster_t *is)
{
	list_for_each (it, &is->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);
		const roster_group_t *before = roster_group(was, group->service);

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
		push = differs_in_groups(pooler->sync.roster, commit->roster);
		commit->roster->revision = result->as_of;
		adopt_roster(pooler, commit->roster);
		if (push)
			push_fleet(pooler);
		sync_run_services(pooler);
	} else if (result->status == KV_CONFLICT) {
		on_conflict(commit, result);
	} else {
		pooler->sync.behind = true;
	}
	commit->done(commit->data, result);
	talloc_free(commit);
}

void sync_commit(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data)
{
	kv_t *kv = pooler_store(pooler);
	commit_t *commit = talloc_zero(pooler, commit_t);
	char *key = sync_key(commit, pooler, "roster");
	int64_t expected = restore_is_due(pooler) ? pooler->sync.restored : roster->revision;
	kv_write_t writes[2] = {{.key = key, .expected = expected}};
	size_t count = 1;

	commit->pooler = pooler;
	commit->sent_at = now_of(pooler);
	commit->expected = expected;
	commit->roster = roster_copy(commit, roster);
	commit->roster->era = expected != 0 ? kv_era(expected) : pooler->sync.era;
	roster_set_writer(commit->roster, pooler->config.name);
	writes[0].value = roster_text(commit->roster);
	/*
	 * A write of ours that reaches the store after our hold has ended must fail: the next
	 * holder takes it for granted that nobody else changes a group, and would go on telling the
	 * fleet of the primary before.
	 */
	if (pooler->sync.holding)
		writes[count++] = (kv_write_t){.key = sync_key(commit, pooler, "holder"),
					       .expected = (int64_t)pooler->sync.own_fence,
					       .only_check = true};
	commit->done = done;
	commit->data = data;
	kv->ops->commit(kv, writes, count, on_committed, commit);
}

/* --- the clock --- */

void sync_tick(pooler_t *pooler, usec_t now)
{
	if (must_read(pooler, now))
		read_store(pooler, now);
	restore_run(pooler, now);
	join_run(pooler, now);
}
