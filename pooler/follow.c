#include "follow.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <uthash.h>

#include "pack.h"

#define LOG_MODULE "follow"
#include "counter.h"
#include "log.h"

/* Longest wait of one watch call: long for few calls, and below the store's limit of 30 s. */
#define WATCH_WAIT_MSEC 20000
/*
 * Back-off after a failed call: doubles from BACKOFF_FIRST, BACKOFF_DOUBLINGS times at most, and up
 * to as much jitter is added.
 */
#define BACKOFF_FIRST	  (100 * USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS 4
/*
 * Owners whose entries expired in an outage of the store have written them again within 2 s of its
 * return.
 */
#define REMOVAL_DELAY (2300 * USEC_PER_MSEC)

COUNTER_DEFINE(reads_total, "follow_reads_total", COUNTER_SUM,
	       "Full reads of a followed store prefix.");
COUNTER_DEFINE(failures_total, "follow_failures_total", COUNTER_SUM,
	       "Failed calls while following a prefix.");

/* Number of removed keys that are kept; a proxy that has missed more is sent all entries. */
#define REMOVED_MAX 64

typedef struct follow_entry {
	list_t node;	   /* in follow_t.keys or follow_t.removed */
	UT_hash_handle hh; /* in follow_t.by_key while it is in keys */
	char *key;
	char *value;
	size_t len;
	int64_t revision;	  /* of the item, or of its removal */
	int64_t receipt_revision; /* follow_t.as_of when the change was received; later than
				     revision if a watch had missed the change */
	uint64_t round;		  /* number of the last full read that contained it */
	usec_t missing_since;	  /* USEC_NEVER: it is present */
} follow_entry_t;

static void make_due_calls(follow_t *follow);

const char *follow_source_text(follow_source_t source)
{
	static const char *const texts[] = {
		[FOLLOW_SOURCE_READ] = "reading",
		[FOLLOW_SOURCE_WATCH] = "watch",
		[FOLLOW_SOURCE_PEER] = "peer",
	};

	return texts[source];
}

static follow_entry_t *find_entry(const follow_t *follow, const char *key)
{
	follow_entry_t *entry;

	HASH_FIND_STR(follow->by_key, key, entry);
	return entry;
}

/* --- present and missing entries --- */

static void drop_removed(follow_t *follow, const char *key)
{
	list_for_each_safe (it, &follow->removed) {
		follow_entry_t *entry = list_entry(it, follow_entry_t, node);

		if (strcmp(entry->key, key) != 0)
			continue;
		list_del(&entry->node);
		talloc_free(entry);
	}
}

/*
 * A full read may bring a change older than what was sent to peers. The change still has to be sent
 * to them, so it counts with the revision of the read.
 */
static int64_t receipt_revision_of(const follow_t *follow, int64_t revision)
{
	return follow->applying_page && follow->read_revision > revision ? follow->read_revision
									 : revision;
}

static void apply_item(follow_t *follow, const kv_item_t *item)
{
	follow_entry_t *entry = find_entry(follow, item->key);

	if (entry == NULL) {
		entry = talloc_zero(follow->parent, follow_entry_t);
		entry->key = talloc_strdup(entry, item->key);
		list_add_tail(&follow->keys, &entry->node);
		HASH_ADD_KEYPTR(hh, follow->by_key, entry->key, strlen(entry->key), entry);
		drop_removed(follow, item->key);
	}
	entry->round = follow->read_round;
	/* The read may be older than what the watch has brought meanwhile. */
	if (item->revision <= entry->revision && entry->missing_since == USEC_NEVER)
		return;
	entry->revision = item->revision;
	entry->missing_since = USEC_NEVER;
	talloc_free(entry->value);
	entry->value = talloc_memdup(entry, item->value, item->len);
	entry->len = item->len;
	entry->receipt_revision = receipt_revision_of(follow, item->revision);
	follow->ops->on_changed(follow, item);
}

static void report_removed(follow_t *follow, follow_entry_t *entry)
{
	follow->ops->on_removed(follow, entry->key);
	HASH_DEL(follow->by_key, entry);
	list_del(&entry->node);
	list_add_tail(&follow->removed, &entry->node);
	if (list_length(&follow->removed) <= REMOVED_MAX)
		return;
	entry = list_entry(follow->removed.next, follow_entry_t, node);
	follow->complete_since = entry->revision;
	list_del(&entry->node);
	talloc_free(entry);
}

static void on_removal_timer(run_timer_t *timer, usec_t now);

static void arm_removal_timer(follow_t *follow, usec_t at)
{
	if (!timer_is_armed(&follow->removal_timer))
		timers_arm(follow->timers, &follow->removal_timer, at, on_removal_timer);
}

static void on_removal_timer(run_timer_t *timer, usec_t now)
{
	follow_t *follow = list_entry(timer, follow_t, removal_timer);
	usec_t next = USEC_NEVER;

	list_for_each_safe (it, &follow->keys) {
		follow_entry_t *entry = list_entry(it, follow_entry_t, node);

		if (entry->missing_since == USEC_NEVER)
			continue;
		if (now >= entry->missing_since + REMOVAL_DELAY)
			report_removed(follow, entry);
		else if (entry->missing_since + REMOVAL_DELAY < next)
			next = entry->missing_since + REMOVAL_DELAY;
	}
	if (next != USEC_NEVER)
		arm_removal_timer(follow, next);
}

/*
 * The entry may only have expired in an outage of the store, so it is reported as removed if it
 * stays missing for REMOVAL_DELAY.
 */
static void set_missing(follow_t *follow, follow_entry_t *entry, int64_t revision)
{
	usec_t now = clock_now(follow->clock);

	if (entry->missing_since != USEC_NEVER)
		return;
	entry->missing_since = now;
	entry->revision = revision;
	entry->receipt_revision = receipt_revision_of(follow, revision);
	arm_removal_timer(follow, now + REMOVAL_DELAY);
}

/* --- failures --- */

static void on_page_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	make_due_calls(list_entry(timer, follow_t, page_retry.timer));
}

static void on_watch_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	make_due_calls(list_entry(timer, follow_t, watch_retry.timer));
}

static usec_t backoff_time(follow_t *follow, unsigned failures)
{
	unsigned doublings = failures < BACKOFF_DOUBLINGS ? failures : BACKOFF_DOUBLINGS;
	usec_t base = BACKOFF_FIRST << doublings;

	follow->random_state =
		follow->random_state * 6364136223846793005ull + 1442695040888963407ull;
	return base + (follow->random_state >> 33) % base;
}

/* Logs the failure and arms the timer of the next attempt. */
static void retry_later(follow_t *follow, follow_retry_t *retry, follow_source_t source,
			kv_status_t status, timer_cb_t on_retry)
{
	usec_t wait = backoff_time(follow, retry->failures);

	counter_add(&failures_total, 1);
	if (retry->failures == 0)
		LOG_EVENT(LOG_WARN, "store call failed", LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(source)), LOG_INT("status", status),
			  LOG_INT("retry_ms", (int64_t)(wait / USEC_PER_MSEC)));
	else
		LOG_EVENT(LOG_INFO, "store call failed again", LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(source)), LOG_INT("status", status),
			  LOG_INT("failures", retry->failures),
			  LOG_INT("retry_ms", (int64_t)(wait / USEC_PER_MSEC)));
	retry->failures++;
	timers_arm(follow->timers, &retry->timer, clock_now(follow->clock) + wait, on_retry);
}

static void clear_failures(const follow_t *follow, follow_retry_t *retry, follow_source_t source)
{
	if (retry->failures != 0)
		LOG_EVENT(LOG_INFO, "store call succeeded after failures",
			  LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(source)),
			  LOG_INT("failures", retry->failures));
	retry->failures = 0;
}

/* --- full reads --- */

static void start_read(follow_t *follow)
{
	counter_add(&reads_total, 1);
	follow->reading = true;
	follow->read_round++;
	follow->read_revision = 0;
	talloc_free(follow->last_key);
	follow->last_key = NULL;
}

static void advance_as_of(follow_t *follow, int64_t revision)
{
	if (revision > follow->as_of)
		follow->as_of = revision;
}

static void finish_read(follow_t *follow)
{
	if (follow->revision == 0) {
		follow->revision = follow->read_revision;
		follow->complete_since = follow->read_revision;
	}
	advance_as_of(follow, follow->read_revision);
	list_for_each (it, &follow->keys) {
		follow_entry_t *entry = list_entry(it, follow_entry_t, node);

		/* An entry written after the read began cannot be in the read. */
		if (entry->round < follow->read_round && entry->revision <= follow->read_revision)
			set_missing(follow, entry, follow->read_revision);
	}
	follow->reading = false;
	follow->unanswered_since = 0;
}

static void on_page(void *data, const kv_result_t *result)
{
	follow_t *follow = data;

	follow->page_in_flight = false;
	/* Without an item there is no key from which to go on; the rest would count as missing. */
	if (result->status != KV_OK || (result->truncated && result->count == 0)) {
		retry_later(follow, &follow->page_retry, FOLLOW_SOURCE_READ, result->status,
			    on_page_retry);
		return;
	}
	clear_failures(follow, &follow->page_retry, FOLLOW_SOURCE_READ);
	if (!follow->reading) {
		/* A peer has sent all entries meanwhile. */
		make_due_calls(follow);
		return;
	}
	/*
	 * Pages are read at different revisions; a watch from the first page's revision on misses
	 * nothing.
	 */
	if (follow->read_revision == 0)
		follow->read_revision = result->as_of;
	follow->applying_page = true;
	follow->source = FOLLOW_SOURCE_READ;
	for (size_t i = 0; i < result->count; i++)
		apply_item(follow, &result->items[i]);
	follow->applying_page = false;
	talloc_free(follow->last_key);
	follow->last_key = NULL;
	if (result->truncated)
		follow->last_key =
			talloc_strdup(follow->parent, result->items[result->count - 1].key);
	else
		finish_read(follow);
	if (!follow->reading && follow->ops->on_read != NULL)
		follow->ops->on_read(follow, follow->read_started_at);
	make_due_calls(follow);
}

/* --- watching --- */

static void apply_events(follow_t *follow, const kv_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const kv_item_t *item = &items[i];
		follow_entry_t *entry = find_entry(follow, item->key);

		if (item->value != NULL)
			apply_item(follow, item);
		else if (entry != NULL && item->revision > entry->revision)
			set_missing(follow, entry, item->revision);
	}
}

/* A peer may still relay a full read, which brings what the watch would have brought. */
static void on_watch_failure(follow_t *follow, kv_status_t status)
{
	retry_later(follow, &follow->watch_retry, FOLLOW_SOURCE_WATCH, status, on_watch_retry);
	if (!follow->from_peer && !follow->reading)
		start_read(follow);
	make_due_calls(follow);
}

static void on_events(void *data, const kv_result_t *result)
{
	follow_t *follow = data;

	follow->watching = false;
	if (result->status == KV_COMPACTED) {
		LOG_EVENT(LOG_INFO, "store history was compacted, reading the whole prefix",
			  LOG_STR("prefix", follow->prefix), LOG_INT("revision", follow->revision));
		follow->revision = 0;
		start_read(follow);
		make_due_calls(follow);
		return;
	}
	if (result->status != KV_OK) {
		on_watch_failure(follow, result->status);
		return;
	}
	clear_failures(follow, &follow->watch_retry, FOLLOW_SOURCE_WATCH);
	follow->source = FOLLOW_SOURCE_WATCH;
	apply_events(follow, result->items, result->count);
	follow->revision = result->as_of;
	advance_as_of(follow, result->as_of);
	if (follow->coalesce_time != 0 && result->count != 0)
		timers_arm(follow->timers, &follow->watch_retry.timer,
			   clock_now(follow->clock) + follow->coalesce_time, on_watch_retry);
	make_due_calls(follow);
}

/* Makes the calls that are due: the next page, the next watch, or both. */
static void make_due_calls(follow_t *follow)
{
	if (follow->reading && !follow->page_in_flight &&
	    !timer_is_armed(&follow->page_retry.timer)) {
		follow->page_in_flight = true;
		if (follow->last_key == NULL)
			follow->read_started_at = clock_now(follow->clock);
		if (follow->unanswered_since == 0)
			follow->unanswered_since = follow->read_started_at;
		follow->kv->ops->range(follow->kv, follow->prefix,
				       follow->last_key != NULL ? follow->last_key : "", on_page,
				       follow);
	}
	if (follow->revision != 0 && !follow->watching && !follow->from_peer &&
	    !timer_is_armed(&follow->watch_retry.timer)) {
		follow->watching = true;
		follow->kv->ops->watch(follow->kv, follow->prefix, follow->revision,
				       WATCH_WAIT_MSEC, on_events, follow);
	}
}

usec_t follow_unanswered_time(const follow_t *follow)
{
	return follow->unanswered_since != 0 ? clock_now(follow->clock) - follow->unanswered_since
					     : 0;
}

void follow_refresh(follow_t *follow)
{
	follow->read_deferred = false;
	if (timer_is_armed(&follow->page_retry.timer))
		LOG_EVENT(LOG_INFO, "full read is waiting for the back-off",
			  LOG_STR("prefix", follow->prefix),
			  LOG_INT("failures", follow->page_retry.failures),
			  LOG_INT("revision", follow->as_of));
	if (follow->reading)
		return;
	start_read(follow);
	make_due_calls(follow);
}

void follow_retry_failed(follow_t *follow)
{
	if (follow->page_retry.failures != 0)
		timers_cancel(follow->timers, &follow->page_retry.timer);
	if (follow->watch_retry.failures != 0)
		timers_cancel(follow->timers, &follow->watch_retry.timer);
	make_due_calls(follow);
}

/* --- peers --- */

void follow_set_from_peer(follow_t *follow, bool from_peer)
{
	if (follow->from_peer == from_peer)
		return;
	follow->from_peer = from_peer;
	make_due_calls(follow);
}

static void collect_entries(const list_t *list, int64_t since, kv_item_t *items, size_t *count,
			    size_t *bytes)
{
	list_for_each (it, list) {
		const follow_entry_t *entry = list_entry(it, follow_entry_t, node);
		bool present = entry->missing_since == USEC_NEVER;

		if (entry->receipt_revision <= since)
			continue;
		*bytes += present ? entry->len : 0;
		items[(*count)++] = (kv_item_t){
			.key = entry->key,
			.value = present ? entry->value : NULL,
			.len = present ? entry->len : 0,
			.revision = entry->revision,
		};
	}
}

follow_changes_status_t follow_collect_changes(const follow_t *follow, int64_t since, void *parent,
					       follow_changes_t *changes)
{
	bool complete = since < follow->complete_since;
	kv_item_t *items;
	size_t count = 0;
	size_t bytes = 0;

	/* Fast path: this runs for every query, and nearly no sender lacks anything. */
	if (follow->complete_since == 0 || follow->as_of <= since)
		return FOLLOW_UP_TO_DATE;
	items = talloc_array(parent, kv_item_t,
			     list_length(&follow->keys) + list_length(&follow->removed));
	collect_entries(&follow->keys, complete ? 0 : since, items, &count, &bytes);
	collect_entries(&follow->removed, complete ? 0 : since, items, &count, &bytes);
	if (count == 0 && !complete)
		return FOLLOW_UP_TO_DATE;
	if (bytes > FOLLOW_CHANGES_MAX_BYTES)
		return FOLLOW_CHANGES_TOO_LARGE;
	*changes = (follow_changes_t){
		.complete = complete, .as_of = follow->as_of, .items = items, .count = count};
	return FOLLOW_HAS_CHANGES;
}

/* --- changes as one text --- */

/*
 * A value that is not valid UTF-8 can't be encoded, and is of use only to its writer; it is sent as
 * an empty one. Without it the receiver would take the key for missing, unlike proxies that read
 * the store.
 */
static json_t *encode_value(const follow_entry_t *entry)
{
	json_t *value = json_stringn(entry->value, entry->len);

	return value != NULL ? value : json_string("");
}

static json_t *encode_item(const follow_entry_t *entry)
{
	bool present = entry->missing_since == USEC_NEVER;

	return json_pack("[s, I, o]", entry->key, (json_int_t)entry->revision,
			 present ? encode_value(entry) : json_null());
}

static void encode_entries(json_t *items, const list_t *list, int64_t since)
{
	list_for_each (it, list) {
		const follow_entry_t *entry = list_entry(it, follow_entry_t, node);

		if (entry->receipt_revision > since)
			json_array_append_new(items, encode_item(entry));
	}
}

const char *follow_pack_changes(follow_t *follow, int64_t since)
{
	bool complete = since < follow->complete_since;
	json_t *items;
	json_t *root;
	char *text;

	if (follow->complete_since == 0)
		return NULL;
	if (complete)
		since = 0;
	if (follow->packed != NULL && follow->packed_as_of == follow->as_of &&
	    follow->packed_since == since)
		return follow->packed;
	items = json_array();
	encode_entries(items, &follow->keys, since);
	encode_entries(items, &follow->removed, since);
	root = json_pack("{s:I, s:b, s:o}", "as_of", (json_int_t)follow->as_of, "whole", complete,
			 "items", items);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	talloc_free(follow->packed);
	follow->packed = pack_compress(follow->parent, text, strlen(text));
	follow->packed_as_of = follow->as_of;
	follow->packed_since = since;
	free(text);
	return follow->packed;
}

static bool decode_item(json_t *root, kv_item_t *item)
{
	json_t *value;
	json_int_t revision;

	*item = (kv_item_t){0};
	if (json_unpack(root, "[s, I, o]", &item->key, &revision, &value) != 0)
		return false;
	item->revision = revision;
	item->value = json_string_value(value);
	item->len = json_string_length(value);
	return item->value != NULL || json_is_null(value);
}

bool follow_apply_packed(follow_t *follow, const char *text)
{
	void *parent = talloc_new(NULL);
	size_t len;
	const char *plain = pack_decompress(parent, text, strlen(text), &len);
	json_t *root = plain != NULL ? json_loadb(plain, len, JSON_ALLOW_NUL, NULL) : NULL;
	json_t *list = json_object_get(root, "items");
	kv_item_t *items = talloc_array(parent, kv_item_t, json_array_size(list));
	follow_changes_t changes = {
		.complete = json_is_true(json_object_get(root, "whole")),
		.as_of = json_integer_value(json_object_get(root, "as_of")),
		.items = items,
	};
	bool ok = json_is_array(list) && changes.as_of > 0;

	for (size_t i = 0; ok && i < json_array_size(list); i++)
		ok = decode_item(json_array_get(list, i), &items[changes.count++]);
	if (ok)
		follow_apply_changes(follow, &changes);
	else
		LOG_EVENT(LOG_ERR, "directory received from a peer is invalid",
			  LOG_STR("prefix", follow->prefix), LOG_INT("bytes", (int64_t)len));
	json_decref(root);
	talloc_free(parent);
	return ok;
}

/* Applies all entries and ends a full read that this follower may have begun. */
static void apply_complete(follow_t *follow, const follow_changes_t *changes)
{
	follow->read_deferred = false;
	follow->read_round++;
	follow->read_revision = changes->as_of;
	apply_events(follow, changes->items, changes->count);
	follow->complete_since = changes->as_of;
	finish_read(follow);
}

/*
 * Changes from a peer are applied also during our own full read, which takes long while the store
 * does not answer; otherwise the peer would send all entries with each answer until then.
 */
void follow_apply_changes(follow_t *follow, const follow_changes_t *changes)
{
	if (changes->as_of <= follow->as_of)
		return;
	follow->source = FOLLOW_SOURCE_PEER;
	if (changes->complete)
		apply_complete(follow, changes);
	else
		apply_events(follow, changes->items, changes->count);
	if (follow->revision != 0 && changes->as_of > follow->revision)
		follow->revision = changes->as_of;
	/*
	 * Without a full read these changes may be meant for an earlier process of this proxy, so
	 * as_of stays.
	 */
	if (follow->complete_since != 0)
		advance_as_of(follow, changes->as_of);
	if (follow->unanswered_since != 0)
		follow->unanswered_since = clock_now(follow->clock);
}

/* --- start and stop --- */

static void start_first_read(follow_t *follow)
{
	start_read(follow);
	make_due_calls(follow);
}

void follow_start_deferred(follow_t *follow)
{
	if (!follow->read_deferred)
		return;
	follow->read_deferred = false;
	if (follow->revision == 0)
		start_first_read(follow);
}

void follow_start(follow_t *follow, void *parent)
{
	follow->parent = parent;
	list_init(&follow->keys);
	list_init(&follow->removed);
	if (!follow->read_deferred)
		start_first_read(follow);
}

void follow_stop(follow_t *follow)
{
	timers_cancel(follow->timers, &follow->page_retry.timer);
	timers_cancel(follow->timers, &follow->watch_retry.timer);
	timers_cancel(follow->timers, &follow->removal_timer);
	HASH_CLEAR(hh, follow->by_key);
	list_for_each_safe (it, &follow->keys)
		talloc_free(list_entry(it, follow_entry_t, node));
	list_for_each_safe (it, &follow->removed)
		talloc_free(list_entry(it, follow_entry_t, node));
	list_init(&follow->keys);
	list_init(&follow->removed);
	TALLOC_FREE(follow->packed);
	talloc_free(follow->last_key);
	follow->last_key = NULL;
}
