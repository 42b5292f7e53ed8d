#include "fake_kv.h"

#include <string.h>

#include <talloc.h>

/* Time-out of a call; the real client has one too. */
#define CALL_TIMEOUT  (1500 * USEC_PER_MSEC)
#define DEFAULT_DELAY (4 * USEC_PER_MSEC)
#define PAGE_ITEMS    500

typedef struct item {
	list_t node;
	char *key;
	char *value;
	int64_t revision;
	int64_t created;
	uint64_t lease;
} item_t;

typedef struct lease {
	list_t node;
	uint64_t id;
	usec_t expires_at;
	usec_t ttl;
} lease_t;

typedef struct event {
	list_t node;
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
	int64_t created;
} event_t;

typedef enum { CALL_RANGE, CALL_WATCH, CALL_COMMIT, CALL_CREATE, CALL_KEEP, CALL_END } call_kind_t;

typedef struct call {
	list_t node;
	call_kind_t kind;
	fake_kv_client_t *client;
	char *prefix;
	char *after_key;
	int64_t after;
	int64_t scanned_revision; /* revision up to which a watch has checked the events */
	int64_t ttl_ms;
	uint64_t lease;
	kv_write_t *writes;
	size_t write_count;
	kv_done_t done;
	void *data;
	usec_t arrives_at; /* time at which it reaches the store */
	usec_t deadline;   /* time-out; a watch ends then without changes */
	bool arrived;
	bool lost; /* done, but its answer is lost */
	kv_result_t result;
} call_t;

static usec_t store_now(const fake_kv_t *store)
{
	return clock_now(store->clock);
}

/* --- items --- */

static item_t *find_item(const fake_kv_t *store, const char *key)
{
	list_for_each (it, &store->items) {
		item_t *item = list_entry(it, item_t, node);

		if (strcmp(item->key, key) == 0)
			return item;
	}
	return NULL;
}

static void drop_event(fake_kv_t *store, event_t *event)
{
	list_del(&event->node);
	talloc_free(event);
	store->event_count--;
}

static void trim_history(fake_kv_t *store)
{
	while (store->history_max != 0 && store->event_count > store->history_max) {
		event_t *oldest = list_entry(store->events.next, event_t, node);

		store->compacted = oldest->revision;
		drop_event(store, oldest);
	}
}

static void add_event(fake_kv_t *store, const item_t *item, const char *value)
{
	event_t *event = talloc_zero(store, event_t);

	event->key = talloc_strdup(event, item->key);
	event->value = value != NULL ? talloc_strdup(event, value) : NULL;
	event->revision = store->revision;
	event->created = item->created;
	list_add_tail(&store->events, &event->node);
	store->event_count++;
	trim_history(store);
}

static void insert_item(fake_kv_t *store, item_t *item)
{
	list_t *pos = &store->items;

	list_for_each (it, &store->items) {
		if (strcmp(list_entry(it, item_t, node)->key, item->key) > 0) {
			pos = it;
			break;
		}
	}
	list_add_before(pos, &item->node);
}

static void put_item(fake_kv_t *store, const char *key, const char *value, uint64_t lease)
{
	item_t *item = find_item(store, key);

	if (value == NULL) {
		if (item == NULL)
			return;
		add_event(store, item, NULL);
		list_del(&item->node);
		talloc_free(item);
		return;
	}
	if (item == NULL) {
		item = talloc_zero(store, item_t);
		item->key = talloc_strdup(item, key);
		item->created = store->revision;
		insert_item(store, item);
	}
	talloc_free(item->value);
	item->value = talloc_strdup(item, value);
	item->revision = store->revision;
	item->lease = lease;
	add_event(store, item, value);
}

void fake_kv_put(fake_kv_t *store, const char *key, const char *value)
{
	store->revision++;
	put_item(store, key, value, 0);
	timers_arm(store->timers, &store->timer, store_now(store), store->timer.cb);
}

const char *fake_kv_get(const fake_kv_t *store, const char *key)
{
	const item_t *item = find_item(store, key);

	return item != NULL ? item->value : NULL;
}

void fake_kv_delete_key(fake_kv_t *store, const char *key)
{
	fake_kv_put(store, key, NULL);
}

static void free_items(list_t *items)
{
	list_for_each_safe (it, items) {
		item_t *item = list_entry(it, item_t, node);

		list_del(&item->node);
		talloc_free(item);
	}
}

static void copy_item(fake_kv_t *store, list_t *to, const item_t *from, int64_t era)
{
	item_t *item = talloc_zero(store, item_t);

	item->key = talloc_strdup(item, from->key);
	item->value = talloc_strdup(item, from->value);
	item->revision = kv_make_revision(era, kv_revision_in_era(from->revision));
	item->created = kv_make_revision(era, kv_revision_in_era(from->created));
	item->lease = from->lease;
	list_add_tail(to, &item->node);
}

void fake_kv_make_backup(fake_kv_t *store)
{
	free_items(&store->backup);
	list_for_each (it, &store->items)
		copy_item(store, &store->backup, list_entry(it, item_t, node), 0);
	store->backup_revision = kv_revision_in_era(store->revision);
}

void fake_kv_restore_backup(fake_kv_t *store)
{
	int64_t era = kv_era(store->revision) + 1;

	free_items(&store->items);
	list_for_each (it, &store->backup) {
		const item_t *item = list_entry(it, item_t, node);

		if (item->lease == 0)
			copy_item(store, &store->items, item, era);
	}
	list_for_each_safe (it, &store->leases) {
		lease_t *lease = list_entry(it, lease_t, node);

		list_del(&lease->node);
		talloc_free(lease);
	}
	store->revision = kv_make_revision(era, store->backup_revision);
	fake_kv_compact(store);
}

void fake_kv_delete_prefix(fake_kv_t *store, const char *prefix)
{
	list_for_each_safe (it, &store->items) {
		const char *key = list_entry(it, item_t, node)->key;

		if (strncmp(key, prefix, strlen(prefix)) == 0)
			fake_kv_put(store, key, NULL);
	}
}

void fake_kv_compact(fake_kv_t *store)
{
	store->compacted = store->revision;
	fake_kv_drop_events(store);
}

void fake_kv_drop_events(fake_kv_t *store)
{
	list_for_each_safe (it, &store->events) {
		drop_event(store, list_entry(it, event_t, node));
	}
}

/* --- leases --- */

static lease_t *find_lease(const fake_kv_t *store, uint64_t id)
{
	list_for_each (it, &store->leases) {
		lease_t *lease = list_entry(it, lease_t, node);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static void end_lease(fake_kv_t *store, lease_t *lease)
{
	list_for_each_safe (it, &store->items) {
		item_t *item = list_entry(it, item_t, node);

		if (item->lease == lease->id) {
			store->revision++;
			put_item(store, item->key, NULL, 0);
		}
	}
	list_del(&lease->node);
	talloc_free(lease);
}

static void expire_leases(fake_kv_t *store)
{
	list_for_each_safe (it, &store->leases) {
		lease_t *lease = list_entry(it, lease_t, node);

		if (store_now(store) >= lease->expires_at)
			end_lease(store, lease);
	}
}

/* --- calls --- */

static bool has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Converts an item for an answer; its strings are copied as children of parent. */
static kv_item_t item_to_result(void *parent, const item_t *item)
{
	return (kv_item_t){
		.key = talloc_strdup(parent, item->key),
		.value = talloc_strdup(parent, item->value),
		.len = strlen(item->value),
		.revision = item->revision,
		.create_revision = item->created,
		.lease = item->lease,
	};
}

static void do_range(fake_kv_t *store, call_t *call)
{
	kv_item_t *items = talloc_array(call, kv_item_t, PAGE_ITEMS);

	if (store->empty_pages != 0 && *call->after_key != '\0') {
		store->empty_pages--;
		call->result.truncated = true;
		return;
	}
	list_for_each (it, &store->items) {
		item_t *item = list_entry(it, item_t, node);

		if (!has_prefix(item->key, call->prefix) || strcmp(item->key, call->after_key) <= 0)
			continue;
		if (call->result.count == PAGE_ITEMS) {
			call->result.truncated = true;
			break;
		}
		items[call->result.count++] = item_to_result(items, item);
	}
	call->result.items = items;
	call->result.as_of = store->revision;
}

/* Returns true if the watch ends, with changes or since its history was compacted. */
static bool do_watch(fake_kv_t *store, call_t *call)
{
	kv_item_t *items = NULL;

	if (call->after < store->compacted) {
		call->result.status = KV_COMPACTED;
		return true;
	}
	if (store->watches_stalled || call->scanned_revision == store->revision)
		return false;
	call->scanned_revision = store->revision;
	list_for_each (it, &store->events) {
		event_t *event = list_entry(it, event_t, node);

		if (event->revision <= call->after || !has_prefix(event->key, call->prefix))
			continue;
		items = talloc_realloc(call, items, kv_item_t, call->result.count + 1);
		items[call->result.count++] = (kv_item_t){
			.key = talloc_strdup(call, event->key),
			.value = event->value != NULL ? talloc_strdup(call, event->value) : NULL,
			.len = event->value != NULL ? strlen(event->value) : 0,
			.revision = event->revision,
			.create_revision = event->created,
		};
	}
	call->result.items = items;
	call->result.as_of = store->revision;
	return call->result.count != 0;
}

/* Adds the current items to the answer to a commit whose condition failed. */
static void add_current_items(fake_kv_t *store, call_t *call)
{
	kv_item_t *items = talloc_zero_array(call, kv_item_t, call->write_count);

	for (size_t i = 0; i < call->write_count; i++) {
		const item_t *item = find_item(store, call->writes[i].key);

		if (item != NULL)
			items[call->result.count++] = item_to_result(items, item);
	}
	call->result.items = items;
}

static void do_commit(fake_kv_t *store, call_t *call)
{
	for (size_t i = 0; i < call->write_count; i++) {
		const item_t *item = find_item(store, call->writes[i].key);

		if ((item != NULL ? item->revision : 0) != call->writes[i].expected) {
			call->result.status = KV_CONFLICT;
			add_current_items(store, call);
			return;
		}
		if (call->writes[i].lease != 0 &&
		    find_lease(store, call->writes[i].lease) == NULL) {
			call->result.status = KV_NOT_FOUND;
			return;
		}
	}
	store->revision++;
	for (size_t i = 0; i < call->write_count; i++) {
		if (!call->writes[i].check_only)
			put_item(store, call->writes[i].key, call->writes[i].value,
				 call->writes[i].lease);
	}
	call->result.as_of = store->revision;
}

static void do_lease_create(fake_kv_t *store, call_t *call)
{
	lease_t *lease = talloc_zero(store, lease_t);

	lease->id = ++store->next_lease;
	lease->ttl = (usec_t)call->ttl_ms * USEC_PER_MSEC;
	lease->expires_at = store_now(store) + lease->ttl;
	list_add_tail(&store->leases, &lease->node);
	call->result.lease = lease->id;
}

static void do_lease_call(fake_kv_t *store, call_t *call)
{
	lease_t *lease = find_lease(store, call->lease);

	if (lease == NULL)
		call->result.status = KV_NOT_FOUND;
	else if (call->kind == CALL_KEEP)
		lease->expires_at = store_now(store) + lease->ttl;
	else
		end_lease(store, lease);
}

/* Returns true if the call has its result. */
static bool execute_call(fake_kv_t *store, call_t *call)
{
	switch (call->kind) {
	case CALL_RANGE:
		do_range(store, call);
		return true;
	case CALL_WATCH:
		return do_watch(store, call);
	case CALL_COMMIT:
		do_commit(store, call);
		break;
	case CALL_CREATE:
		do_lease_create(store, call);
		break;
	case CALL_KEEP:
	case CALL_END:
		do_lease_call(store, call);
		break;
	}
	if (store->lose_commit_answers != 0 && call->kind == CALL_COMMIT) {
		store->lose_commit_answers--;
		call->lost = true;
	}
	if (store->lose_lease_keep_answers != 0 && call->kind == CALL_KEEP) {
		store->lose_lease_keep_answers--;
		call->lost = true;
	}
	return true;
}

static void finish_call(call_t *call)
{
	list_del(&call->node);
	call->result.era = kv_era(call->client->store->revision);
	call->done(call->data, &call->result);
	talloc_free(call);
}

static bool is_refused(const call_t *call)
{
	const fake_kv_client_t *client = call->client;

	return client->calls_refused || (client->watches_refused && call->kind == CALL_WATCH);
}

/* True if the client's connection loses the call or its answer. */
static bool is_unreachable(const call_t *call)
{
	const fake_kv_client_t *client = call->client;

	return client->unreachable || (client->unanswered_prefix != NULL && call->prefix != NULL &&
				       strcmp(call->prefix, client->unanswered_prefix) == 0);
}

/* Returns true if the call was answered. */
static bool advance_call(fake_kv_t *store, call_t *call)
{
	usec_t now = store_now(store);
	bool reachable = !store->down && !is_unreachable(call);

	if (reachable && is_refused(call) && now >= call->arrives_at) {
		call->result.status = KV_REFUSED;
		finish_call(call);
		return true;
	}
	if (now >= call->deadline) {
		if (call->kind == CALL_WATCH && reachable)
			call->result.as_of = store->revision;
		else
			call->result.status = KV_OUTCOME_UNKNOWN;
		finish_call(call);
		return true;
	}
	if (!reachable || call->lost || now < call->arrives_at)
		return false;
	if (!execute_call(store, call) || call->lost)
		return false;
	finish_call(call);
	return true;
}

static void rearm_timer(fake_kv_t *store);

static void on_timer(run_timer_t *timer, usec_t now)
{
	fake_kv_t *store = list_entry(timer, fake_kv_t, timer);
	bool again = true;

	(void)now;
	if (!store->down)
		expire_leases(store);
	while (again) {
		again = false;
		list_for_each (it, &store->calls) {
			/* The callback of a call may change the list by starting further calls. */
			if (advance_call(store, list_entry(it, call_t, node))) {
				again = true;
				break;
			}
		}
	}
	rearm_timer(store);
}

/* While calls are in flight, the store checks them every millisecond. */
static void rearm_timer(fake_kv_t *store)
{
	usec_t next = USEC_NEVER;
	usec_t now = store_now(store);

	list_for_each (it, &store->calls) {
		const call_t *call = list_entry(it, call_t, node);
		usec_t at = call->arrives_at > now ? call->arrives_at : now + USEC_PER_MSEC;

		next = at < next ? at : next;
	}
	if (next != USEC_NEVER)
		timers_arm(store->timers, &store->timer, next, on_timer);
}

static call_t *add_call(kv_t *kv, call_kind_t kind, kv_done_t done, void *data)
{
	fake_kv_client_t *client = (fake_kv_client_t *)kv;
	fake_kv_t *store = client->store;
	call_t *call = talloc_zero(store, call_t);

	call->kind = kind;
	call->client = client;
	call->done = done;
	call->data = data;
	call->arrives_at = store_now(store) + store->answer_delay;
	call->deadline =
		store_now(store) +
		(kv->timeout_ms != 0 ? (usec_t)kv->timeout_ms * USEC_PER_MSEC : CALL_TIMEOUT);
	list_add_tail(&store->calls, &call->node);
	store->call_count++;
	rearm_timer(store);
	return call;
}

static void kv_range(kv_t *kv, const char *prefix, const char *after, kv_done_t done, void *data)
{
	call_t *call = add_call(kv, CALL_RANGE, done, data);

	call->prefix = talloc_strdup(call, prefix);
	call->after_key = talloc_strdup(call, after);
}

static void kv_watch(kv_t *kv, const char *prefix, int64_t after, int64_t wait_ms, kv_done_t done,
		     void *data)
{
	call_t *call = add_call(kv, CALL_WATCH, done, data);

	call->prefix = talloc_strdup(call, prefix);
	call->after = after;
	call->deadline = call->arrives_at + (usec_t)wait_ms * USEC_PER_MSEC;
}

static void kv_commit(kv_t *kv, const kv_write_t *writes, size_t count, kv_done_t done, void *data)
{
	call_t *call = add_call(kv, CALL_COMMIT, done, data);

	call->writes = talloc_array(call, kv_write_t, count);
	call->write_count = count;
	for (size_t i = 0; i < count; i++) {
		call->writes[i] = writes[i];
		call->writes[i].key = talloc_strdup(call, writes[i].key);
		if (writes[i].value != NULL)
			call->writes[i].value = talloc_strdup(call, writes[i].value);
	}
}

static void kv_lease_create(kv_t *kv, int64_t ttl_ms, kv_done_t done, void *data)
{
	add_call(kv, CALL_CREATE, done, data)->ttl_ms = ttl_ms;
}

static void kv_lease_keep(kv_t *kv, uint64_t lease, kv_done_t done, void *data)
{
	add_call(kv, CALL_KEEP, done, data)->lease = lease;
}

static void kv_lease_end(kv_t *kv, uint64_t lease, kv_done_t done, void *data)
{
	add_call(kv, CALL_END, done, data)->lease = lease;
}

static const kv_ops_t ops = {
	.range = kv_range,
	.watch = kv_watch,
	.commit = kv_commit,
	.lease_create = kv_lease_create,
	.lease_keep = kv_lease_keep,
	.lease_end = kv_lease_end,
};

void fake_kv_client_init(fake_kv_client_t *client, fake_kv_t *store)
{
	client->kv.ops = &ops;
	client->store = store;
}

static void ignore_result(void *data, const kv_result_t *result)
{
	(void)data;
	(void)result;
}

void fake_kv_client_abandon(fake_kv_client_t *client)
{
	list_for_each (it, &client->store->calls) {
		call_t *call = list_entry(it, call_t, node);

		if (call->client == client)
			call->done = ignore_result;
	}
}

static int destroy_store(fake_kv_t *store)
{
	timers_cancel(store->timers, &store->timer);
	return 0;
}

fake_kv_t *fake_kv_create(void *parent, const run_clock_t *clock, timer_set_t *timers)
{
	fake_kv_t *store = talloc_zero(parent, fake_kv_t);

	store->clock = clock;
	store->timers = timers;
	store->answer_delay = DEFAULT_DELAY;
	store->revision = 1;
	/* Lease ids of the platform's store have some 50 bits. */
	store->next_lease = (uint64_t)1 << 50;
	store->timer.cb = on_timer;
	list_init(&store->items);
	list_init(&store->leases);
	list_init(&store->events);
	list_init(&store->calls);
	list_init(&store->backup);
	talloc_set_destructor(store, destroy_store);
	return store;
}
