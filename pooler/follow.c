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

/* One call of a watch: few calls, and the store allows 30 s. */
#define WATCH_WAIT_MSEC 20000
/* Back-off after a failed call: doubles from the first to the last, plus up to as much jitter. */
#define BACKOFF_FIRST	  (100 * USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS 4
/* Owners whose entries lapsed with the store have them back within 2 s of its return. */
#define RETURN_TIME (2300 * USEC_PER_MSEC)

COUNTER_DEFINE(reads_total, "follow_reads_total", COUNTER_SUM,
	       "Whole readings of a followed prefix.");
COUNTER_DEFINE(failures_total, "follow_failures_total", COUNTER_SUM,
	       "Failed calls while following a prefix.");

/* Keys told as gone that are remembered; whoever has missed more is told all of it. */
#define GONE_MAX 64

typedef struct known {
	list_t node;	   /* in follow_t.keys, or in follow_t.gone */
	UT_hash_handle hh; /* in follow_t.by_key, as long as it is in keys */
	char *key;
	char *value;
	size_t len;
	int64_t revision;     /* of the item, or of its end */
	int64_t told;	      /* follow_t.told when it was learnt: a watch can miss a change */
	uint64_t round;	      /* of the reading that saw it last */
	usec_t missing_since; /* USEC_NEVER: it is there */
} known_t;

static void go_on(follow_t *follow);

const char *follow_source_text(follow_source_t way)
{
	static const char *const texts[] = {
		[FOLLOW_SOURCE_READ] = "reading",
		[FOLLOW_SOURCE_WATCH] = "watch",
		[FOLLOW_SOURCE_PEER] = "peer",
	};

	return texts[way];
}

static known_t *find(const follow_t *follow, const char *key)
{
	known_t *known;

	HASH_FIND_STR(follow->by_key, key, known);
	return known;
}

/* --- what is there, and what is not --- */

static void forget_gone(follow_t *follow, const char *key)
{
	list_for_each_safe (it, &follow->removed) {
		known_t *known = list_entry(it, known_t, node);

		if (strcmp(known->key, key) != 0)
			continue;
		list_del(&known->node);
		talloc_free(known);
	}
}

/* What is read again may be older than what peers were told, and has to be told all the same. */
static int64_t learnt_at(const follow_t *follow, int64_t revision)
{
	return follow->applying_page && follow->read_revision > revision ? follow->read_revision
									 : revision;
}

static void take_item(follow_t *follow, const kv_item_t *item)
{
	known_t *known = find(follow, item->key);

	if (known == NULL) {
		known = talloc_zero(follow->parent, known_t);
		known->key = talloc_strdup(known, item->key);
		list_add_tail(&follow->keys, &known->node);
		HASH_ADD_KEYPTR(hh, follow->by_key, known->key, strlen(known->key), known);
		forget_gone(follow, item->key);
	}
	known->round = follow->read_round;
	/* A reading may be older than what a watch has told meanwhile. */
	if (item->revision <= known->revision && known->missing_since == USEC_NEVER)
		return;
	known->revision = item->revision;
	known->missing_since = USEC_NEVER;
	talloc_free(known->value);
	known->value = talloc_memdup(known, item->value, item->len);
	known->len = item->len;
	known->told = learnt_at(follow, item->revision);
	follow->ops->on_changed(follow, item);
}

static void tell_gone(follow_t *follow, known_t *known)
{
	follow->ops->on_removed(follow, known->key);
	HASH_DEL(follow->by_key, known);
	list_del(&known->node);
	list_add_tail(&follow->removed, &known->node);
	if (list_length(&follow->removed) <= GONE_MAX)
		return;
	known = list_entry(follow->removed.next, known_t, node);
	follow->complete_since = known->revision;
	list_del(&known->node);
	talloc_free(known);
}

static void on_sweep(run_timer_t *timer, usec_t now);

static void arm_sweep(follow_t *follow, usec_t at)
{
	if (!timer_is_armed(&follow->removal_timer))
		timers_arm(follow->timers, &follow->removal_timer, at, on_sweep);
}

static void on_sweep(run_timer_t *timer, usec_t now)
{
	follow_t *follow = list_entry(timer, follow_t, removal_timer);
	usec_t next = USEC_NEVER;

	list_for_each_safe (it, &follow->keys) {
		known_t *known = list_entry(it, known_t, node);

		if (known->missing_since == USEC_NEVER)
			continue;
		if (now >= known->missing_since + RETURN_TIME)
			tell_gone(follow, known);
		else if (known->missing_since + RETURN_TIME < next)
			next = known->missing_since + RETURN_TIME;
	}
	if (next != USEC_NEVER)
		arm_sweep(follow, next);
}

/* It may have lapsed with the store only; told as gone if it stays away. */
static void set_missing(follow_t *follow, known_t *known, int64_t revision)
{
	usec_t now = clock_now(follow->clock);

	if (known->missing_since != USEC_NEVER)
		return;
	known->missing_since = now;
	known->revision = revision;
	known->told = learnt_at(follow, revision);
	arm_sweep(follow, now + RETURN_TIME);
}

/* --- failures --- */

static void on_page_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	go_on(list_entry(timer, follow_t, page_retry.timer));
}

static void on_watch_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	go_on(list_entry(timer, follow_t, watch_retry.timer));
}

static usec_t backoff(follow_t *follow, unsigned failures)
{
	unsigned doublings = failures < BACKOFF_DOUBLINGS ? failures : BACKOFF_DOUBLINGS;
	usec_t base = BACKOFF_FIRST << doublings;

	follow->random_state =
		follow->random_state * 6364136223846793005ull + 1442695040888963407ull;
	return base + (follow->random_state >> 33) % base;
}

/* Log the failure, and try again after the back-off. */
static void retry_later(follow_t *follow, follow_retry_t *retry, follow_source_t way,
			kv_status_t status, timer_cb_t on_retry)
{
	usec_t wait = backoff(follow, retry->failures);

	counter_add(&failures_total, 1);
	if (retry->failures == 0)
		LOG_EVENT(LOG_WARN, "store lost", LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(way)), LOG_INT("status", status),
			  LOG_INT("retry_ms", (int64_t)(wait / USEC_PER_MSEC)));
	else
		LOG_EVENT(LOG_INFO, "store lost still", LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(way)), LOG_INT("status", status),
			  LOG_INT("failures", retry->failures),
			  LOG_INT("retry_ms", (int64_t)(wait / USEC_PER_MSEC)));
	retry->failures++;
	timers_arm(follow->timers, &retry->timer, clock_now(follow->clock) + wait, on_retry);
}

static void note_success(const follow_t *follow, follow_retry_t *retry, follow_source_t way)
{
	if (retry->failures != 0)
		LOG_EVENT(LOG_INFO, "store back", LOG_STR("prefix", follow->prefix),
			  LOG_STR("call", follow_source_text(way)),
			  LOG_INT("failures", retry->failures));
	retry->failures = 0;
}

/* --- reading all --- */

static void start_reading(follow_t *follow)
{
	counter_add(&reads_total, 1);
	follow->reading = true;
	follow->read_round++;
	follow->read_revision = 0;
	talloc_free(follow->last_key);
	follow->last_key = NULL;
}

static void advance(follow_t *follow, int64_t revision)
{
	if (revision > follow->as_of)
		follow->as_of = revision;
}

static void end_reading(follow_t *follow)
{
	if (follow->revision == 0) {
		follow->revision = follow->read_revision;
		follow->complete_since = follow->read_revision;
	}
	advance(follow, follow->read_revision);
	list_for_each (it, &follow->keys) {
		known_t *known = list_entry(it, known_t, node);

		/* What was written after the reading began can't be in it. */
		if (known->round < follow->read_round && known->revision <= follow->read_revision)
			set_missing(follow, known, follow->read_revision);
	}
	follow->reading = false;
	follow->unanswered_since = 0;
}

static void on_page(void *data, const kv_result_t *result)
{
	follow_t *follow = data;

	follow->page_in_flight = false;
	if (result->status != KV_OK) {
		retry_later(follow, &follow->page_retry, FOLLOW_SOURCE_READ, result->status,
			    on_page_retry);
		return;
	}
	note_success(follow, &follow->page_retry, FOLLOW_SOURCE_READ);
	if (!follow->reading) {
		/* A peer has told all of it meanwhile. */
		go_on(follow);
		return;
	}
	/* Pages are read at different moments; watching from the first one misses nothing. */
	if (follow->read_revision == 0)
		follow->read_revision = result->as_of;
	follow->applying_page = true;
	follow->source = FOLLOW_SOURCE_READ;
	for (size_t i = 0; i < result->count; i++)
		take_item(follow, &result->items[i]);
	follow->applying_page = false;
	talloc_free(follow->last_key);
	follow->last_key = NULL;
	if (result->truncated && result->count != 0)
		follow->last_key =
			talloc_strdup(follow->parent, result->items[result->count - 1].key);
	else
		end_reading(follow);
	if (!follow->reading && follow->ops->on_read != NULL)
		follow->ops->on_read(follow, follow->read_started_at);
	go_on(follow);
}

/* --- watching --- */

static void take_events(follow_t *follow, const kv_item_t *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const kv_item_t *item = &items[i];
		known_t *known = find(follow, item->key);

		if (item->value != NULL)
			take_item(follow, item);
		else if (known != NULL && item->revision > known->revision)
			set_missing(follow, known, item->revision);
	}
}

/* A peer may still read for us what the watch would have told. */
static void on_watch_failure(follow_t *follow, kv_status_t status)
{
	retry_later(follow, &follow->watch_retry, FOLLOW_SOURCE_WATCH, status, on_watch_retry);
	if (!follow->from_peer && !follow->reading)
		start_reading(follow);
	go_on(follow);
}

static void on_events(void *data, const kv_result_t *result)
{
	follow_t *follow = data;

	follow->watching = false;
	if (result->status == KV_COMPACTED) {
		LOG_EVENT(LOG_INFO, "history is gone, reading all again",
			  LOG_STR("prefix", follow->prefix), LOG_INT("revision", follow->revision));
		follow->revision = 0;
		start_reading(follow);
		go_on(follow);
		return;
	}
	if (result->status != KV_OK) {
		on_watch_failure(follow, result->status);
		return;
	}
	note_success(follow, &follow->watch_retry, FOLLOW_SOURCE_WATCH);
	follow->source = FOLLOW_SOURCE_WATCH;
	take_events(follow, result->items, result->count);
	follow->revision = result->as_of;
	advance(follow, result->as_of);
	if (follow->coalesce_time != 0 && result->count != 0)
		timers_arm(follow->timers, &follow->watch_retry.timer,
			   clock_now(follow->clock) + follow->coalesce_time, on_watch_retry);
	go_on(follow);
}

/* Make the calls that are due: the next page, the next watch, or both. */
static void go_on(follow_t *follow)
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
		LOG_EVENT(LOG_INFO, "reading waits for the back-off",
			  LOG_STR("prefix", follow->prefix),
			  LOG_INT("failures", follow->page_retry.failures),
			  LOG_INT("revision", follow->as_of));
	if (follow->reading)
		return;
	start_reading(follow);
	go_on(follow);
}

void follow_retry_failed(follow_t *follow)
{
	if (follow->page_retry.failures != 0)
		timers_cancel(follow->timers, &follow->page_retry.timer);
	if (follow->watch_retry.failures != 0)
		timers_cancel(follow->timers, &follow->watch_retry.timer);
	go_on(follow);
}

/* --- peers --- */

void follow_set_from_peer(follow_t *follow, bool fed)
{
	if (follow->from_peer == fed)
		return;
	follow->from_peer = fed;
	go_on(follow);
}

static void list_known(const list_t *list, int64_t since, kv_item_t *items, size_t *count,
		       size_t *bytes)
{
	list_for_each (it, list) {
		const known_t *known = list_entry(it, known_t, node);
		bool there = known->missing_since == USEC_NEVER;

		if (known->told <= since)
			continue;
		*bytes += there ? known->len : 0;
		items[(*count)++] = (kv_item_t){
			.key = known->key,
			.value = there ? known->value : NULL,
			.len = there ? known->len : 0,
			.revision = known->revision,
		};
	}
}

follow_changes_status_t follow_collect_changes(const follow_t *follow, int64_t since, void *parent,
					       follow_changes_t *changes)
{
	bool whole = since < follow->complete_since;
	kv_item_t *items;
	size_t count = 0;
	size_t bytes = 0;

	/* Every question asks, and nearly none lacks anything. */
	if (follow->complete_since == 0 || follow->as_of <= since)
		return FOLLOW_UP_TO_DATE;
	items = talloc_array(parent, kv_item_t,
			     list_length(&follow->keys) + list_length(&follow->removed));
	list_known(&follow->keys, whole ? 0 : since, items, &count, &bytes);
	list_known(&follow->removed, whole ? 0 : since, items, &count, &bytes);
	if (count == 0 && !whole)
		return FOLLOW_UP_TO_DATE;
	if (bytes > FOLLOW_CHANGES_MAX_BYTES)
		return FOLLOW_CHANGES_TOO_LARGE;
	*changes = (follow_changes_t){
		.complete = whole, .as_of = follow->as_of, .items = items, .count = count};
	return FOLLOW_HAS_CHANGES;
}

/* --- as one text --- */

/* NULL if it can't be told: values that are no UTF-8 are of use to their writer only. */
static json_t *encode_item(const known_t *known)
{
	bool there = known->missing_since == USEC_NEVER;
	json_t *value = there ? json_stringn(known->value, known->len) : json_null();

	if (value == NULL)
		return NULL;
	return json_pack("[s, I, o]", known->key, (json_int_t)known->revision, value);
}

static void encode_list(json_t *items, const list_t *list, int64_t since)
{
	list_for_each (it, list) {
		const known_t *known = list_entry(it, known_t, node);
		json_t *item = known->told > since ? encode_item(known) : NULL;

		if (item != NULL)
			json_array_append_new(items, item);
	}
}

const char *follow_pack_changes(follow_t *follow, int64_t since)
{
	bool whole = since < follow->complete_since;
	json_t *items;
	json_t *root;
	char *text;

	if (follow->complete_since == 0)
		return NULL;
	if (whole)
		since = 0;
	if (follow->packed != NULL && follow->packed_as_of == follow->as_of &&
	    follow->packed_since == since)
		return follow->packed;
	items = json_array();
	encode_list(items, &follow->keys, since);
	encode_list(items, &follow->removed, since);
	root = json_pack("{s:I, s:b, s:o}", "as_of", (json_int_t)follow->as_of, "whole", whole,
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
		LOG_EVENT(LOG_ERR, "directory told by a peer can't be read",
			  LOG_STR("prefix", follow->prefix), LOG_INT("bytes", (int64_t)len));
	json_decref(root);
	talloc_free(parent);
	return ok;
}

/* All of it, whatever this follower was reading itself. */
static void take_whole(follow_t *follow, const follow_changes_t *changes)
{
	follow->read_deferred = false;
	follow->read_round++;
	follow->read_revision = changes->as_of;
	take_events(follow, changes->items, changes->count);
	follow->complete_since = changes->as_of;
	end_reading(follow);
}

/*
 * Also while this follower reads the store itself, which may take long when the store does not
 * answer; it would be told everything with each answer until then.
 */
void follow_apply_changes(follow_t *follow, const follow_changes_t *changes)
{
	if (changes->as_of <= follow->as_of)
		return;
	follow->source = FOLLOW_SOURCE_PEER;
	if (changes->complete)
		take_whole(follow, changes);
	else
		take_events(follow, changes->items, changes->count);
	if (follow->revision != 0 && changes->as_of > follow->revision)
		follow->revision = changes->as_of;
	/* Changes alone may be meant for our process of before. */
	if (follow->complete_since != 0)
		advance(follow, changes->as_of);
	if (follow->unanswered_since != 0)
		follow->unanswered_since = clock_now(follow->clock);
}

/* --- start and end --- */

static void read_first(follow_t *follow)
{
	start_reading(follow);
	go_on(follow);
}

void follow_start_deferred(follow_t *follow)
{
	if (!follow->read_deferred)
		return;
	follow->read_deferred = false;
	if (follow->revision == 0)
		read_first(follow);
}

void follow_start(follow_t *follow, void *parent)
{
	follow->parent = parent;
	list_init(&follow->keys);
	list_init(&follow->removed);
	if (!follow->read_deferred)
		read_first(follow);
}

void follow_stop(follow_t *follow)
{
	timers_cancel(follow->timers, &follow->page_retry.timer);
	timers_cancel(follow->timers, &follow->watch_retry.timer);
	timers_cancel(follow->timers, &follow->removal_timer);
	HASH_CLEAR(hh, follow->by_key);
	list_for_each_safe (it, &follow->keys)
		talloc_free(list_entry(it, known_t, node));
	list_for_each_safe (it, &follow->removed)
		talloc_free(list_entry(it, known_t, node));
	list_init(&follow->keys);
	list_init(&follow->removed);
	TALLOC_FREE(follow->packed);
	talloc_free(follow->last_key);
	follow->last_key = NULL;
}
