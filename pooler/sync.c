#include "sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#include "caller.h"
#include "conn.h"
#include "dispatch.h"
#include "duty.h"
#include "permit.h"

#define LOG_MODULE "sync"
#include "counter.h"
#include "log.h"

/* Between two reads of the roster by the holder; every other proxy hears of it from there. */
#define READ_HOLDER (400 * USEC_PER_MSEC)
/* A proxy that heard nothing for so long reads itself; plus jitter, so that not all do. */
#define READ_OTHERS (900 * USEC_PER_MSEC)
#define READ_JITTER (300 * USEC_PER_MSEC)
/* With news this old all peers are asked, so that the permission lasts while the store is away. */
#define ASK_ALL_AFTER (1300 * USEC_PER_MSEC)
/* After a read that failed, plus as much jitter. */
#define READ_BACKOFF (150 * USEC_PER_MSEC)
/* Between two questions to the holder. */
#define ASK_INTERVAL (250 * USEC_PER_MSEC)
/* A holder silent for so long is not the only one asked. */
#define HOLDER_SILENT (600 * USEC_PER_MSEC)
/* The lease of the duty: how long a holder that died keeps it. */
#define DUTY_TTL (2000 * USEC_PER_MSEC)
/* Taken off at our side, for the store's timers. */
#define DUTY_MARGIN    (300 * USEC_PER_MSEC)
#define RENEW_INTERVAL (600 * USEC_PER_MSEC)
/* A renewal that failed is repeated after this. */
#define RENEW_RETRY (200 * USEC_PER_MSEC)
/* Wait before taking the duty; jittered, so that one of many gets it. */
#define ACQUIRE_JITTER (200 * USEC_PER_MSEC)
/* After a failed attempt. */
#define ACQUIRE_BACKOFF (1 * USEC_PER_SEC)
/*
 * Between two readings of the directory by the holder, which all others compare theirs with.
 * The configuration must be in force within 3 s of its acceptance, a leaving member left
 * alone within 7 s.
 */
#define CONFIG_REFRESH	(900 * USEC_PER_MSEC)
#define MEMBERS_REFRESH (2 * USEC_PER_SEC)
/* Answers in a row that show another list of members: one may cross a change under way. */
#define MEMBERS_DIFFER_MAX 2

COUNTER_DEFINE(roster_reads, "roster_reads_total", COUNTER_SUM, "Reads of the roster.");
COUNTER_DEFINE(roster_failed, "roster_reads_failed_total", COUNTER_SUM,
	       "Reads of the roster that failed.");
COUNTER_DEFINE(roster_revision, "roster_revision", COUNTER_GAUGE,
	       "Store revision of the roster in use.");
COUNTER_DEFINE(duty_held, "duty_held", COUNTER_GAUGE,
	       "1 while this proxy holds the duty to promote.");

static char *key_of(void *parent, const pooler_t *pooler, const char *name)
{
	return talloc_asprintf(parent, "%s%s", pooler->config.prefix, name);
}

void sync_init(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;

	sync->confirmed_at = USEC_NEVER;
	sync->roster = roster_create(pooler);
	list_init(&sync->reports);
}

void sync_destroy(pooler_t *pooler)
{
	talloc_free(pooler->sync.roster);
}

bool sync_is_holder(const pooler_t *pooler, usec_t now)
{
	return pooler->sync.holding && now < pooler->sync.hold_until;
}

bool sync_lists(const char *list, const char *word)
{
	size_t len = strlen(word);

	while (list != NULL && *list != '\0') {
		size_t span = strcspn(list, " ");

		if (span == len && memcmp(list, word, len) == 0)
			return true;
		list += span;
		list += *list == ' ';
	}
	return false;
}

/* --- a new roster --- */

static void revoke(service_t *service)
{
	list_for_each (it, &service->members) {
		member_t *member = list_entry(it, member_t, in_service);

		list_for_each_safe (jt, &member->conns) {
			conn_t *conn = list_entry(jt, conn_t, node);

			if (conn->caller == NULL || !caller_may_write(conn->caller))
				continue;
			/* A commit under way may still be answered before all have let go. */
			if (conn->state == CONN_RUNNING && caller_may_keep(conn->caller))
				continue;
			conn_close(conn, "the primary is being replaced");
		}
	}
}

static void on_group(pooler_t *pooler, const roster_group_t *was, const roster_group_t *is)
{
	service_t *service = service_get(pooler, is->service);
	bool moved = was == NULL || strcmp(was->primary, is->primary) != 0;

	if (was != NULL && !moved && was->changing == is->changing)
		return;
	LOG_EVENT(LOG_INFO, is->changing ? "primary is about to change" : "primary in use",
		  LOG_STR("service", is->service), LOG_STR("member", is->primary),
		  LOG_INT("roster", pooler->sync.roster->revision),
		  LOG_INT("fence", (int64_t)is->fence));
	if (moved)
		service->settled_at = now_of(pooler);
	service->changing_since = is->changing ? now_of(pooler) : USEC_NEVER;
	if (moved || is->changing)
		revoke(service);
}

static void note_listed(pooler_t *pooler)
{
	list_for_each (it, &pooler->sync.reports)
		list_entry(it, peer_report_t, node)->agreed_at = 0;
	list_for_each (it, &pooler->sync.roster->nodes) {
		peer_report_t *report =
			sync_get_report(pooler, list_entry(it, roster_node_t, node)->name);

		if (report->listed_since == 0)
			report->listed_since = now_of(pooler);
	}
}

static void adopt(pooler_t *pooler, roster_t *roster)
{
	roster_t *old = pooler->sync.roster;

	talloc_steal(pooler, roster);
	pooler->sync.roster = roster;
	counter_set(&roster_revision, roster->revision);
	list_for_each (it, &roster->groups) {
		const roster_group_t *group = list_entry(it, roster_group_t, node);

		on_group(pooler, roster_group(old, group->service), group);
	}
	talloc_free(old);
	note_listed(pooler);
	/* Whoever waits for us to let go hears it at once. */
	pooler->sync.ask_next = 0;
}

static void run_services(pooler_t *pooler)
{
	list_for_each (it, &pooler->services)
		dispatch_run(list_entry(it, service_t, node));
}

/* The store held the revision of our roster when asked at this time, or later. */
static void confirm(pooler_t *pooler, usec_t asked_at)
{
	sync_t *sync = &pooler->sync;

	if (sync->confirmed_at == USEC_NEVER || asked_at > sync->confirmed_at)
		sync->confirmed_at = asked_at;
}

/* --- who holds the duty --- */

static void lose_duty(pooler_t *pooler, const char *reason)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding)
		return;
	sync->holding = false;
	sync->acquire_after = now_of(pooler) + ACQUIRE_BACKOFF;
	counter_set(&duty_held, 0);
	LOG_EVENT(LOG_WARN, "duty lost", LOG_STR("reason", reason),
		  LOG_INT("fence", (int64_t)sync->own_fence));
	duty_abandon(pooler);
}

static void set_holder(pooler_t *pooler, const char *name, const char *address, uint64_t fence)
{
	sync_t *sync = &pooler->sync;
	bool known = sync->holder != NULL && fence == sync->fence;

	if (known || fence < sync->fence)
		return;
	/* Two with one token must never promote, however we hear of the other. */
	if (sync->holding && fence > sync->own_fence)
		lose_duty(pooler, "another proxy holds it");
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

	if (item == NULL) {
		/* A read that was sent before we got hold of it proves nothing. */
		if (sync->holding && asked_at > sync->held_since)
			lose_duty(pooler, "the store no longer has the key");
		forget_holder(pooler);
		return;
	}
	value = json_loadb(item->value, item->len, 0, NULL);
	if (json_unpack(value, "{s:s, s:s}", "name", &name, "address", &address) == 0) {
		set_holder(pooler, name, address, (uint64_t)item->created);
	}
	json_decref(value);
}

/* --- reading the store --- */

static void on_roster_item(pooler_t *pooler, const kv_item_t *item)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (item->revision <= sync->roster->revision)
		return;
	roster = roster_decode(pooler, item->value, item->len, item->revision);
	if (roster == NULL) {
		LOG_EVENT(LOG_ERR, "roster can't be read", LOG_STR("key", item->key),
			  LOG_INT("revision", item->revision));
		return;
	}
	adopt(pooler, roster);
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

static void register_self(pooler_t *pooler);

static void on_read(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	char *roster_key = key_of(NULL, pooler, "roster");
	char *holder_key = key_of(roster_key, pooler, "holder");
	const kv_item_t *item;

	sync->reading = false;
	if (result->status != KV_OK) {
		if (sync->read_after <= sync->last_read_ok)
			LOG_EVENT(LOG_WARN, "store does not answer",
				  LOG_INT("status", result->status));
		counter_add(&roster_failed, 1);
		sync->read_after = now + READ_BACKOFF + pooler_random(pooler, READ_BACKOFF);
		talloc_free(roster_key);
		return;
	}
	log_store_back(pooler, now);
	sync->last_read_ok = now;
	item = item_named(result, roster_key);
	if (item != NULL)
		on_roster_item(pooler, item);
	if ((item != NULL ? item->revision : 0) == sync->roster->revision)
		confirm(pooler, sync->read_sent);
	on_holder_item(pooler, item_named(result, holder_key), sync->read_sent);
	talloc_free(roster_key);
	/* At once: a fleet that starts together takes turns at this, one write after another. */
	register_self(pooler);
	run_services(pooler);
}

static void read_store(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	sync->reading = true;
	sync->read_sent = now;
	sync->read_jitter = pooler_random(pooler, READ_JITTER);
	counter_add(&roster_reads, 1);
	pooler->env->kv->ops->range(pooler->env->kv, pooler->config.prefix, "", on_read, pooler);
}

static bool must_read(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t most = sync_is_holder(pooler, now) ? READ_HOLDER : READ_OTHERS + sync->read_jitter;

	if (sync->reading || now < sync->read_after)
		return false;
	return sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + most;
}

/* --- writing the roster --- */

typedef struct commit {
	pooler_t *pooler;
	roster_t *roster;
	kv_done_t done;
	void *data;
} commit_t;

static void push(pooler_t *pooler);

static void on_committed(void *data, const kv_result_t *result)
{
	commit_t *commit = data;
	pooler_t *pooler = commit->pooler;

	if (result->status == KV_OK && result->as_of > pooler->sync.roster->revision) {
		commit->roster->revision = result->as_of;
		adopt(pooler, commit->roster);
		push(pooler);
		run_services(pooler);
	} else if (result->status == KV_CONFLICT && !pooler->sync.reading) {
		/* Whatever the store holds now, read it before the next attempt. */
		read_store(pooler, now_of(pooler));
	}
	commit->done(commit->data, result);
	talloc_free(commit);
}

void sync_commit(pooler_t *pooler, const roster_t *roster, kv_done_t done, void *data)
{
	commit_t *commit = talloc_zero(pooler, commit_t);
	char *key = key_of(commit, pooler, "roster");
	kv_write_t write = {
		.key = key,
		.value = roster_encode(commit, roster),
		.expected = roster->revision,
	};

	commit->pooler = pooler;
	commit->roster = roster_copy(commit, roster);
	commit->done = done;
	commit->data = data;
	pooler->env->kv->ops->commit(pooler->env->kv, &write, 1, on_committed, commit);
}

static void on_registered(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	pooler->sync.registering = false;
	if (result->status == KV_OK)
		LOG_EVENT(LOG_INFO, "on the roster",
			  LOG_INT("roster", pooler->sync.roster->revision));
}

/* Our own entry; a proxy that is not on the roster uses no primary. */
static void register_self(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (sync->registering || sync->reading || sync->confirmed_at == USEC_NEVER ||
	    pooler->draining || permit_is_registered(pooler))
		return;
	sync->registering = true;
	roster = roster_copy(NULL, sync->roster);
	roster_put_node(roster, pooler->config.name, pooler->config.address,
			pooler->config.incarnation);
	sync_commit(pooler, roster, on_registered, pooler);
	talloc_free(roster);
}

/* --- the duty's lease --- */

static void ignore_result(void *data, const kv_result_t *result)
{
	(void)data;
	(void)result;
}

static void end_lease(pooler_t *pooler)
{
	kv_t *kv = pooler->env->kv;

	/* If this is lost the lease ends by itself. */
	if (pooler->sync.lease != 0)
		kv->ops->lease_end(kv, pooler->sync.lease, ignore_result, NULL);
	pooler->sync.lease = 0;
}

static void on_acquired(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->acquiring = false;
	/* The answer may come after the hold has ended and gone to another. */
	if (result->status != KV_OK || now >= sync->hold_until ||
	    (uint64_t)result->as_of < sync->fence) {
		sync->acquire_after = now + ACQUIRE_BACKOFF;
		end_lease(pooler);
		return;
	}
	sync->holding = true;
	sync->own_fence = (uint64_t)result->as_of;
	sync->held_since = now;
	sync->renew_next = now + RENEW_INTERVAL;
	counter_set(&duty_held, 1);
	set_holder(pooler, pooler->config.name, pooler->config.address, sync->own_fence);
	push(pooler);
}

static void on_lease(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler->env->kv;
	char *key;
	char *value;
	kv_write_t write = {0};

	if (result->status != KV_OK) {
		sync->acquiring = false;
		sync->acquire_after = now_of(pooler) + ACQUIRE_BACKOFF;
		return;
	}
	sync->lease = result->lease;
	key = key_of(NULL, pooler, "holder");
	value = talloc_asprintf(
		key, "{\"name\":\"%s\",\"address\":\"%s\",\"incarnation\":%" PRIu64 "}",
		pooler->config.name, pooler->config.address, pooler->config.incarnation);
	write = (kv_write_t){.key = key, .value = value, .expected = 0, .lease = result->lease};
	kv->ops->commit(kv, &write, 1, on_acquired, pooler);
	talloc_free(key);
}

static void acquire(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler->env->kv;

	sync->acquiring = true;
	/* The lease runs from the call's arrival, which is no earlier than its sending. */
	sync->hold_until = now + DUTY_TTL - DUTY_MARGIN;
	kv->ops->lease_create(kv, DUTY_TTL / USEC_PER_MSEC, on_lease, pooler);
}

/* A vacant duty is taken after a short random wait. */
static void consider_acquiring(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	bool vacant = sync->last_read_ok != 0 && sync->holder == NULL &&
		      now < sync->last_read_ok + READ_OTHERS;

	if (!vacant || sync->acquiring || sync->holding || pooler->draining ||
	    !permit_is_registered(pooler))
		return;
	if (sync->acquire_after < sync->last_read_ok) {
		sync->acquire_after = now + pooler_random(pooler, ACQUIRE_JITTER);
		return;
	}
	if (now >= sync->acquire_after)
		acquire(pooler, now);
}

typedef struct renewal {
	pooler_t *pooler;
	usec_t sent_at;
	uint64_t lease;
} renewal_t;

static void on_renewed(void *data, const kv_result_t *result)
{
	renewal_t *renewal = data;
	pooler_t *pooler = renewal->pooler;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->renewing = false;
	if (sync->holding && sync->lease == renewal->lease) {
		if (result->status == KV_OK) {
			sync->hold_until = renewal->sent_at + DUTY_TTL - DUTY_MARGIN;
			sync->renew_next = now + RENEW_INTERVAL;
		} else if (result->status == KV_NOT_FOUND) {
			lose_duty(pooler, "the lease ended");
		} else {
			sync->renew_next = now + RENEW_RETRY;
		}
	}
	talloc_free(renewal);
}

static void renew(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler->env->kv;
	renewal_t *renewal = talloc_zero(pooler, renewal_t);

	sync->renewing = true;
	renewal->pooler = pooler;
	renewal->sent_at = now;
	renewal->lease = sync->lease;
	kv->ops->lease_keep(kv, sync->lease, on_renewed, renewal);
}

static void hold(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding)
		return;
	if (now >= sync->hold_until)
		lose_duty(pooler, "the lease was not renewed in time");
	else if (now >= sync->renew_next && !sync->renewing)
		renew(pooler, now);
}

void sync_release(pooler_t *pooler)
{
	lose_duty(pooler, "shutting down");
	end_lease(pooler);
}

/* --- the directory --- */

/* Equal for equal lists of members, whatever their order. */
static uint64_t digest_of_members(const pooler_t *pooler)
{
	uint64_t digest = 0;

	list_for_each (it, &pooler->members) {
		const member_t *member = list_entry(it, member_t, node);

		if (!member->gone)
			digest ^= XXH64(member->id, strlen(member->id), member->leaving);
	}
	/* Half of it is enough, and fits any integer of a message. */
	return digest >> 32;
}

static void refresh_config(pooler_t *pooler, usec_t now)
{
	pooler->sync.config_due = now + CONFIG_REFRESH;
	pooler->env->ops->refresh_config(pooler->env);
}

static void refresh_members(pooler_t *pooler, usec_t now)
{
	pooler->sync.members_due = now + MEMBERS_REFRESH;
	pooler->sync.members_differ = 0;
	pooler->env->ops->refresh_members(pooler->env);
}

/* The holder, and a proxy that does not hear it, read for themselves. */
static void refresh(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding && sync->holder != NULL && now < sync->holder_heard + HOLDER_SILENT)
		return;
	if (now >= sync->config_due)
		refresh_config(pooler, now);
	if (now >= sync->members_due)
		refresh_members(pooler, now);
}

/* Another proxy knows more than we do: a watch of ours missed something. */
static void compare_directory(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version = pooler->routes != NULL ? pooler->routes->version : 0;

	if (message->config_version > version && now + CONFIG_REFRESH / 2 >= sync->config_due)
		refresh_config(pooler, now);
	if (message->members_digest == digest_of_members(pooler))
		sync->members_differ = 0;
	else if (++sync->members_differ >= MEMBERS_DIFFER_MAX && now >= sync->members_due)
		refresh_members(pooler, now);
}

/* --- peers --- */

static char *add_word(char *list, const char *word)
{
	return talloc_asprintf_append(list, "%s%s", *list != '\0' ? " " : "", word);
}

/* What this proxy knows of the primaries, for the holder. */
static void describe(const pooler_t *pooler, usec_t now, peer_message_t *message, void *parent)
{
	char *down = talloc_strdup(parent, "");
	char *alive = talloc_strdup(parent, "");
	char *in_use = talloc_strdup(parent, "");

	list_for_each (it, &pooler->services) {
		const service_t *service = list_entry(it, service_t, node);
		const roster_group_t *group = roster_group(pooler->sync.roster, service->name);
		const member_t *primary =
			group != NULL ? member_find(pooler, group->primary) : NULL;

		if (primary != NULL && primary->down)
			down = add_word(down, service->name);
		else if (primary != NULL && primary->last_reply + ALIVE_WITHIN > now)
			alive = add_word(alive, service->name);
		if (group != NULL && group->changing && permit_in_use(service))
			in_use = add_word(in_use, service->name);
	}
	message->down = down;
	message->alive = alive;
	message->in_use = in_use;
}

static void fill(const pooler_t *pooler, peer_message_t *message)
{
	message->from = pooler->config.name;
	message->address = pooler->config.address;
	message->incarnation = pooler->config.incarnation;
	message->revision = pooler->sync.roster->revision;
	message->config_version = pooler->routes != NULL ? pooler->routes->version : 0;
	message->members_digest = digest_of_members(pooler);
}

static void send_to(const pooler_t *pooler, const char *name, const char *address,
		    const peer_message_t *message)
{
	pooler->env->ops->peer_send(pooler->env, name, address, message);
}

static void send_state(const pooler_t *pooler, const char *name, const char *address, uint64_t echo,
		       int64_t known)
{
	const sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_STATE, .echo = echo};
	usec_t now = now_of(pooler);

	fill(pooler, &message);
	message.age = sync->confirmed_at != USEC_NEVER ? now - sync->confirmed_at : USEC_NEVER;
	if (known < sync->roster->revision)
		message.roster = roster_encode(NULL, sync->roster);
	message.holder = sync->holder;
	message.holder_address = sync->holder_address;
	message.fence = sync->fence;
	send_to(pooler, name, address, &message);
	talloc_free((void *)message.roster);
}

/* Tell all proxies at once; who misses it hears it with the next answer. */
static void push(pooler_t *pooler)
{
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (strcmp(node->name, pooler->config.name) != 0)
			send_state(pooler, node->name, node->address, 0, 0);
	}
}

static const roster_node_t *other_peer(pooler_t *pooler)
{
	const roster_t *roster = pooler->sync.roster;
	size_t count = list_length(&roster->nodes);
	size_t index = count != 0 ? pooler->sync.next_peer++ % count : 0;

	list_for_each (it, &roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (index-- == 0)
			return strcmp(node->name, pooler->config.name) != 0 ? node : NULL;
	}
	return NULL;
}

/* The store seems to be away: the permission can only be prolonged together. */
static void ask_all(pooler_t *pooler, const peer_message_t *message)
{
	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (strcmp(node->name, pooler->config.name) != 0)
			send_to(pooler, node->name, node->address, message);
	}
}

static void ask(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	peer_message_t message = {.kind = PEER_ASK, .echo = now};
	void *parent = talloc_new(NULL);
	const roster_node_t *other;
	char *told;

	fill(pooler, &message);
	describe(pooler, now, &message, parent);
	told = talloc_asprintf(parent, "%s/%s/%" PRId64, message.down, message.in_use,
			       message.revision);
	if (now < sync->ask_next && sync->told != NULL && strcmp(told, sync->told) == 0) {
		talloc_free(parent);
		return;
	}
	talloc_free(sync->told);
	sync->told = talloc_steal(pooler, told);
	sync->ask_next = now + ASK_INTERVAL;
	if (sync->holder != NULL && strcmp(sync->holder, pooler->config.name) != 0)
		send_to(pooler, sync->holder, sync->holder_address, &message);
	if (sync->confirmed_at == USEC_NEVER || now >= sync->confirmed_at + ASK_ALL_AFTER) {
		ask_all(pooler, &message);
	} else if (sync->holder == NULL || now >= sync->holder_heard + HOLDER_SILENT) {
		other = other_peer(pooler);
		if (other != NULL)
			send_to(pooler, other->name, other->address, &message);
	}
	talloc_free(parent);
}

peer_report_t *sync_get_report(pooler_t *pooler, const char *name)
{
	peer_report_t *report;

	list_for_each (it, &pooler->sync.reports) {
		report = list_entry(it, peer_report_t, node);
		if (strcmp(report->name, name) == 0)
			return report;
	}
	report = talloc_zero(pooler, peer_report_t);
	report->name = talloc_strdup(report, name);
	list_add_tail(&pooler->sync.reports, &report->node);
	return report;
}

const peer_report_t *sync_report(const pooler_t *pooler, const char *name)
{
	list_for_each (it, &pooler->sync.reports) {
		const peer_report_t *report = list_entry(it, peer_report_t, node);

		if (strcmp(report->name, name) == 0)
			return report;
	}
	return NULL;
}

static void replace(peer_report_t *report, char **field, const char *text)
{
	talloc_free(*field);
	*field = talloc_strdup(report, text != NULL ? text : "");
}

static void on_ask(pooler_t *pooler, const peer_message_t *message)
{
	peer_report_t *report = sync_get_report(pooler, message->from);

	/* Of an earlier process of that proxy, delivered late. */
	if (message->incarnation < report->incarnation)
		return;
	report->incarnation = message->incarnation;
	report->heard_at = now_of(pooler);
	report->revision = message->revision;
	replace(report, &report->down, message->down);
	replace(report, &report->alive, message->alive);
	replace(report, &report->in_use, message->in_use);
	send_state(pooler, message->from, message->address, message->echo, message->revision);
	if (sync_is_holder(pooler, now_of(pooler)))
		duty_tick(pooler, now_of(pooler));
}

static void on_state(pooler_t *pooler, const peer_message_t *message)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);
	roster_t *roster;

	if (message->holder != NULL && message->fence > sync->fence)
		set_holder(pooler, message->holder, message->holder_address, message->fence);
	if (sync->holder != NULL && strcmp(sync->holder, message->from) == 0)
		sync->holder_heard = now;
	if (message->roster != NULL && message->revision > sync->roster->revision) {
		roster = roster_decode(pooler, message->roster, strlen(message->roster),
				       message->revision);
		if (roster != NULL)
			adopt(pooler, roster);
	}
	/*
	 * The answer was given no earlier than our question was sent, so the peer's read of the
	 * store was sent no earlier than that less its age. Nobody's clock is compared.
	 */
	if (message->echo != 0 && message->echo <= now && message->age < message->echo &&
	    message->revision == sync->roster->revision)
		confirm(pooler, message->echo - message->age);
	if (message->echo != 0 && message->echo <= now &&
	    message->revision == sync->roster->revision)
		sync_get_report(pooler, message->from)->agreed_at = message->echo;
	compare_directory(pooler, message, now);
	run_services(pooler);
}

void sync_on_message(pooler_t *pooler, const peer_message_t *message)
{
	if (message->kind == PEER_ASK)
		on_ask(pooler, message);
	else
		on_state(pooler, message);
}

/* --- the clock --- */

void sync_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	hold(pooler, now);
	refresh(pooler, now);
	if (must_read(pooler, now))
		read_store(pooler, now);
	register_self(pooler);
	consider_acquiring(pooler, now);
	if (!sync_is_holder(pooler, now) || now >= sync->confirmed_at + ASK_ALL_AFTER)
		ask(pooler, now);
}
