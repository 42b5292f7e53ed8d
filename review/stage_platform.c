/* The metadata store and the promotion interface, as PROTOCOL.md describes them. */
#include "stage.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#define HISTORY_MS 20000
#define PROMOTE_MS 300
#define STORE_MS   4
#define ITEMS_MAX  500
#define SWEEP_MS   20

typedef struct item {
	struct item *next;
	char *key;
	char *value; /* as base64; NULL: deleted */
	int64_t rev;
	int64_t created;
	int64_t lease;
} item_t;

typedef struct event {
	char *key;
	char *value;
	int64_t rev;
	int64_t created;
	int64_t lease;
} event_t;

typedef struct lease {
	struct lease *next;
	int64_t id;
	int64_t ttl;
	int64_t end;
} lease_t;

typedef struct watcher {
	struct watcher *next;
	link_t *link;
	char *prefix;
	int64_t after;
	int64_t end;
} watcher_t;

static item_t *items; /* sorted by key */
static event_t *events;
static size_t event_count;
static lease_t *leases;
static watcher_t *watchers;
static int64_t revision;
static int64_t last_lease;

/* --- base64 --- */

static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *to_base64(const char *text)
{
	size_t len = strlen(text);
	char *out = calloc(1, (len + 2) / 3 * 4 + 1);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (uint32_t)(unsigned char)text[i + 2];
		*at++ = digits[bits >> 18];
		*at++ = digits[bits >> 12 & 63];
		*at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	return out;
}

/* --- answers --- */

static void answer(link_t *link, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	link_printf(
		link,
		"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		status, strlen(text));
	link_send(link, text, strlen(text));
	free(text);
	json_decref(body);
}

static json_t *item_to_json(const char *key, const char *value, int64_t rev, int64_t created,
			    int64_t lease)
{
	if (value == NULL)
		return json_pack("{s:s, s:I, s:b}", "key", key, "rev", (json_int_t)rev, "tombstone",
				 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value", value, "rev",
			 (json_int_t)rev, "createdRev", (json_int_t)created, "lease",
			 (json_int_t)lease);
}

static json_t *events_after(const char *prefix, int64_t after)
{
	json_t *list = json_array();

	for (size_t i = 0; i < event_count; i++) {
		const event_t *event = &events[i];

		if (event->rev > after && strncmp(event->key, prefix, strlen(prefix)) == 0)
			json_array_append_new(list,
					      item_to_json(event->key, event->value, event->rev,
							   event->created, event->lease));
	}
	return list;
}

/* Answers the watches that have something to tell, or whose time is over. */
static void serve_watchers(void)
{
	watcher_t **at = &watchers;

	while (*at != NULL) {
		watcher_t *watcher = *at;
		json_t *list = NULL;

		if (watcher->link != NULL)
			list = events_after(watcher->prefix, watcher->after);
		if (list != NULL && json_array_size(list) == 0 && now_ms() < watcher->end) {
			json_decref(list);
			at = &watcher->next;
			continue;
		}
		*at = watcher->next;
		if (list != NULL)
			answer(watcher->link, 200,
			       json_pack("{s:o, s:I}", "events", list, "asOf",
					 (json_int_t)revision));
		free(watcher->prefix);
		free(watcher);
	}
}

/* --- changes --- */

static item_t *find_item(const char *key)
{
	for (item_t *item = items; item != NULL; item = item->next) {
		if (strcmp(item->key, key) == 0)
			return item->value != NULL ? item : NULL;
	}
	return NULL;
}

static item_t *get_item(const char *key)
{
	item_t **at = &items;
	item_t *item;

	while (*at != NULL && strcmp((*at)->key, key) < 0)
		at = &(*at)->next;
	if (*at != NULL && strcmp((*at)->key, key) == 0)
		return *at;
	item = calloc(1, sizeof(*item));
	item->key = strdup(key);
	item->next = *at;
	*at = item;
	return item;
}

/* value: as base64; NULL: deletes the key. */
static void change(const char *key, const char *value, int64_t lease)
{
	item_t *item = get_item(key);

	if (value == NULL && item->value == NULL)
		return;
	if (item->value == NULL)
		item->created = revision;
	free(item->value);
	item->value = value != NULL ? strdup(value) : NULL;
	item->rev = revision;
	item->lease = lease;
	events = realloc(events, (event_count + 1) * sizeof(*events));
	events[event_count++] = (event_t){.key = item->key,
					  .value = value != NULL ? strdup(value) : NULL,
					  .rev = revision,
					  .created = item->created,
					  .lease = lease};
}

void store_put(const char *key, const char *value)
{
	char *text = value != NULL ? to_base64(value) : NULL;

	revision++;
	change(key, text, 0);
	free(text);
	serve_watchers();
}

static lease_t *find_lease(int64_t id)
{
	for (lease_t *lease = leases; lease != NULL; lease = lease->next) {
		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static void end_lease(int64_t id)
{
	lease_t **at = &leases;

	while (*at != NULL && (*at)->id != id)
		at = &(*at)->next;
	if (*at != NULL) {
		lease_t *lease = *at;

		*at = lease->next;
		free(lease);
	}
	revision++;
	for (item_t *item = items; item != NULL; item = item->next) {
		if (item->value != NULL && item->lease == id)
			change(item->key, NULL, 0);
	}
	serve_watchers();
}

static void sweep_leases(void *arg)
{
	after_ms(SWEEP_MS, sweep_leases, arg);
	for (lease_t *lease = leases; lease != NULL; lease = lease->next) {
		if (now_ms() >= lease->end) {
			end_lease(lease->id);
			break;
		}
	}
	serve_watchers();
}

/* --- calls --- */

/* Value of a parameter of the query, with %XX decoded. The caller frees it. */
static char *parameter(const char *target, const char *name)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);
	char *out;
	size_t n = 0;

	while (at != NULL && (strncmp(at + 1, name, len) != 0 || at[len + 1] != '='))
		at = strchr(at + 1, '&');
	if (at == NULL)
		return strdup("");
	at += len + 2;
	out = calloc(1, strlen(at) + 1);
	while (*at != '\0' && *at != '&') {
		unsigned code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			out[n++] = (char)code;
			at += 3;
		} else {
			out[n++] = *at++;
		}
	}
	return out;
}

static void serve_range(link_t *link, const char *target)
{
	char *prefix = parameter(target, "prefix");
	char *after = parameter(target, "after");
	json_t *list = json_array();
	bool truncated = false;

	for (item_t *item = items; item != NULL; item = item->next) {
		if (item->value == NULL || strncmp(item->key, prefix, strlen(prefix)) != 0 ||
		    (*after != '\0' && strcmp(item->key, after) <= 0))
			continue;
		if (json_array_size(list) >= ITEMS_MAX) {
			truncated = true;
			break;
		}
		json_array_append_new(list, item_to_json(item->key, item->value, item->rev,
							 item->created, item->lease));
	}
	answer(link, 200,
	       json_pack("{s:o, s:b, s:I}", "items", list, "truncated", truncated, "asOf",
			 (json_int_t)revision));
	free(prefix);
	free(after);
}

static void serve_watch(link_t *link, const char *target)
{
	watcher_t *watcher = calloc(1, sizeof(*watcher));
	char *after = parameter(target, "after");
	char *wait = parameter(target, "waitMs");

	watcher->link = link;
	watcher->prefix = parameter(target, "prefix");
	watcher->after = strtoll(after, NULL, 10);
	watcher->end = now_ms() + strtoll(wait, NULL, 10);
	watcher->next = watchers;
	watchers = watcher;
	free(after);
	free(wait);
	serve_watchers();
}

static bool conditions_hold(const json_t *expected, json_t *present)
{
	bool hold = true;
	size_t index;
	json_t *row;

	json_array_foreach (expected, index, row) {
		const char *key = json_string_value(json_object_get(row, "key"));
		const item_t *item = find_item(key);
		int64_t rev = item != NULL ? item->rev : 0;

		hold = hold && rev == json_integer_value(json_object_get(row, "rev"));
		if (item != NULL)
			json_array_append_new(present,
					      item_to_json(item->key, item->value, item->rev,
							   item->created, item->lease));
	}
	return hold;
}

static bool leases_exist(const json_t *writes)
{
	size_t index;
	json_t *write;

	json_array_foreach (writes, index, write) {
		int64_t lease = json_integer_value(json_object_get(write, "lease"));

		if (lease != 0 && find_lease(lease) == NULL)
			return false;
	}
	return true;
}

static void serve_txn(link_t *link, const json_t *body)
{
	const json_t *writes = json_object_get(body, "writes");
	const json_t *deletes = json_object_get(body, "deletes");
	json_t *present = json_array();
	size_t index;
	json_t *entry;

	if (!conditions_hold(json_object_get(body, "expected"), present)) {
		answer(link, 412,
		       json_pack("{s:o, s:I}", "items", present, "rev", (json_int_t)revision));
		return;
	}
	json_decref(present);
	if (!leases_exist(writes)) {
		answer(link, 404, json_object());
		return;
	}
	revision++;
	json_array_foreach (writes, index, entry)
		change(json_string_value(json_object_get(entry, "key")),
		       json_string_value(json_object_get(entry, "value")),
		       json_integer_value(json_object_get(entry, "lease")));
	json_array_foreach (deletes, index, entry)
		change(json_string_value(entry), NULL, 0);
	answer(link, 200, json_pack("{s:I}", "rev", (json_int_t)revision));
	serve_watchers();
}

static void serve_lease(link_t *link, const json_t *body)
{
	lease_t *lease = calloc(1, sizeof(*lease));

	lease->id = ++last_lease;
	lease->ttl = json_integer_value(json_object_get(body, "ttlMs"));
	if (lease->ttl < 1000)
		lease->ttl = 1000;
	lease->end = now_ms() + lease->ttl;
	lease->next = leases;
	leases = lease;
	answer(link, 200,
	       json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
			 (json_int_t)lease->ttl));
}

static void serve_keep(link_t *link, int64_t id)
{
	lease_t *lease = find_lease(id);

	if (lease == NULL) {
		answer(link, 404, json_object());
		return;
	}
	lease->end = now_ms() + lease->ttl;
	answer(link, 200, json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl));
}

static void serve_call(link_t *link, const char *target, const json_t *body)
{
	if (strncmp(target, "/kv-range", 9) == 0) {
		serve_range(link, target);
	} else if (strncmp(target, "/kv-watch", 9) == 0) {
		serve_watch(link, target);
	} else if (strncmp(target, "/kv-txn", 7) == 0) {
		serve_txn(link, body);
	} else if (strncmp(target, "/kv-lease-end/", 14) == 0) {
		end_lease(strtoll(target + 14, NULL, 10));
		answer(link, 200, json_object());
	} else if (strncmp(target, "/kv-lease", 9) == 0) {
		serve_lease(link, body);
	} else if (strncmp(target, "/kv-keep/", 9) == 0) {
		serve_keep(link, strtoll(target + 9, NULL, 10));
	} else {
		answer(link, 404, json_object());
	}
}

static void serve_promotion(link_t *link, const char *head, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *fence = strcasestr(head, "X-Cyclamenspan-Fence-Token:");
	const char *holder = strcasestr(head, "X-Cyclamenspan-Duty-Holder:");
	bool done = id != NULL && member_promote(id);

	note("promote %s: holder %.*s, fence %" PRId64 ", %s", id != NULL ? id : "?",
	     holder != NULL ? (int)strcspn(holder + 28, "\r") : 0,
	     holder != NULL ? holder + 28 : "",
	     fence != NULL ? (int64_t)strtoll(fence + 27, NULL, 10) : -1,
	     done ? "accepted" : "refused");
	answer(link, done ? 200 : 409, json_object());
}

/* --- connections --- */

typedef struct call {
	link_t *link;
	char *head;
	json_t *body;
	bool promotion;
} call_t;

typedef struct http {
	call_t *call; /* in progress; NULL: none */
	bool promotion;
} http_t;

static void on_request(link_t *link);

static void serve_later(void *arg)
{
	call_t *call = arg;
	char target[2048] = "";

	if (call->link != NULL) {
		http_t *http = call->link->owner;

		sscanf(call->head, "%*s %2047s", target);
		http->call = NULL;
		if (call->promotion)
			serve_promotion(call->link, call->head, call->body);
		else
			serve_call(call->link, target, call->body);
		if (call->link->fd >= 0)
			on_request(call->link);
	}
	json_decref(call->body);
	free(call->head);
	free(call);
}

static void on_request(link_t *link)
{
	http_t *http = link->owner;
	char *end = link->in_len != 0 ? strstr(link->in, "\r\n\r\n") : NULL;
	const char *field;
	size_t head;
	size_t len = 0;
	call_t *call;

	if (http->call != NULL || end == NULL)
		return;
	head = (size_t)(end - link->in) + 4;
	*end = '\0';
	field = strcasestr(link->in, "content-length:");
	if (field != NULL)
		len = (size_t)strtoul(field + 15, NULL, 10);
	if (strcasestr(link->in, "expect: 100-continue") != NULL && link->in_len == head)
		link_printf(link, "HTTP/1.1 100 Continue\r\n\r\n");
	if (link->in_len < head + len) {
		*end = '\r';
		return;
	}
	call = calloc(1, sizeof(*call));
	call->link = link;
	call->head = strdup(link->in);
	call->body = json_loadb(link->in + head, len, 0, NULL);
	call->promotion = http->promotion;
	http->call = call;
	link_consume(link, head + len);
	after_ms(STORE_MS, serve_later, call);
}

static void on_closed(link_t *link)
{
	http_t *http = link->owner;

	if (http->call != NULL)
		http->call->link = NULL;
	for (watcher_t *watcher = watchers; watcher != NULL; watcher = watcher->next) {
		if (watcher->link == link)
			watcher->link = NULL;
	}
	free(http);
}

static void on_accept(int fd, void *owner)
{
	http_t *http = calloc(1, sizeof(*http));

	http->promotion = owner != NULL;
	link_add(fd, (link_ops_t){on_request, on_closed}, http);
}

void platform_start(void)
{
	int store = listen_below(&stage.store_port);
	int control = listen_below(&stage.control_port);

	if (store < 0 || control < 0)
		cannot_run("no port for the store");
	listener_add(store, on_accept, NULL);
	listener_add(control, on_accept, &stage);
	revision = 10;
	sweep_leases(NULL);
}
