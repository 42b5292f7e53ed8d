/* The platform's metadata store and its call to promote, over HTTP/1.1. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define KEYS_MAX   256
#define LEASES_MAX 4096

typedef struct item {
	char key[200];
	char *value; /* base64; NULL: deleted */
	long rev;
	long created;
	long lease;
} item_t;

typedef struct event {
	char key[200];
	char *value; /* NULL: deleted */
	long rev;
	long created;
	long lease;
} event_t;

typedef struct watch {
	struct watch *next;
	conn_t *conn;
	char prefix[200];
	long after;
	double until;
} watch_t;

static item_t items[KEYS_MAX];
static int item_count;
static event_t *events;
static size_t event_count;
static size_t event_size;
static watch_t *watches;
static struct {
	long ttl;
	double until;
} leases[LEASES_MAX];
static long lease_count;
static long revision = 100;
static int store_listener_port;
static int promotion_listener_port;

int store_port(void)
{
	return store_listener_port;
}

int promotion_port(void)
{
	return promotion_listener_port;
}

/* --- items --- */

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const item_t *)a)->key, ((const item_t *)b)->key);
}

static item_t *find_item(const char *key)
{
	for (int i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void set_item(const char *key, const char *value, long lease)
{
	item_t *item = find_item(key);
	event_t event = {.rev = revision, .lease = lease};

	if (item == NULL) {
		if (value == NULL || item_count == KEYS_MAX)
			return;
		item = &items[item_count++];
		*item = (item_t){0};
		snprintf(item->key, sizeof(item->key), "%s", key);
		qsort(items, (size_t)item_count, sizeof(items[0]), compare_items);
		item = find_item(key);
	}
	if (item->value == NULL)
		item->created = revision;
	free(item->value);
	item->value = value != NULL ? strdup(value) : NULL;
	item->rev = revision;
	item->lease = lease;
	snprintf(event.key, sizeof(event.key), "%s", key);
	event.value = value != NULL ? strdup(value) : NULL;
	event.created = item->created;
	if (event_count == event_size) {
		event_size = event_size != 0 ? event_size * 2 : 256;
		events = realloc(events, event_size * sizeof(*events));
	}
	events[event_count++] = event;
}

static json_t *encode(const char *key, const char *value, long rev, long created, long lease)
{
	if (value == NULL)
		return json_pack("{s:s, s:I, s:b}", "key", key, "rev", (json_int_t)rev, "tombstone",
				 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value", value, "rev",
			 (json_int_t)rev, "createdRev", (json_int_t)created, "lease",
			 (json_int_t)lease);
}

/* --- answers --- */

static void answer(conn_t *conn, int status, json_t *body)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : strdup("{}");

	conn_printf(conn,
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: "
		    "%zu\r\n\r\n",
		    status, strlen(text));
	conn_send(conn, text, strlen(text));
	free(text);
	json_decref(body);
}

static bool answer_watch(const watch_t *watch, bool is_over)
{
	json_t *list = json_array();

	for (size_t i = 0; i < event_count; i++) {
		const event_t *e = &events[i];

		if (e->rev > watch->after &&
		    strncmp(e->key, watch->prefix, strlen(watch->prefix)) == 0)
			json_array_append_new(
				list, encode(e->key, e->value, e->rev, e->created, e->lease));
	}
	if (json_array_size(list) == 0 && !is_over) {
		json_decref(list);
		return false;
	}
	answer(watch->conn, 200,
	       json_pack("{s:o, s:I}", "events", list, "asOf", (json_int_t)revision));
	return true;
}

static void run_watches(void)
{
	watch_t **at = &watches;

	while (*at != NULL) {
		watch_t *watch = *at;

		if (watch->conn->dead || answer_watch(watch, now_ms() >= watch->until)) {
			*at = watch->next;
			free(watch);
		} else {
			at = &watch->next;
		}
	}
}

static void drop_watches_of(const conn_t *conn)
{
	for (watch_t **at = &watches; *at != NULL;) {
		watch_t *watch = *at;

		if (watch->conn != conn) {
			at = &watch->next;
			continue;
		}
		*at = watch->next;
		free(watch);
	}
}

static char *base64(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, len * 2 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		unsigned a = (unsigned char)text[i];
		unsigned b = i + 1 < len ? (unsigned char)text[i + 1] : 0;
		unsigned c = i + 2 < len ? (unsigned char)text[i + 2] : 0;

		*at++ = digits[a >> 2];
		*at++ = digits[(a & 3) << 4 | b >> 4];
		*at++ = i + 1 < len ? digits[(b & 15) << 2 | c >> 6] : '=';
		*at++ = i + 2 < len ? digits[c & 63] : '=';
	}
	return out;
}

void store_put(const char *key, const char *text)
{
	char *value = text != NULL ? base64(text) : NULL;

	revision++;
	set_item(key, value, 0);
	free(value);
	run_watches();
}

/* --- leases --- */

static void on_second(void *arg)
{
	bool changed = false;

	for (long i = 1; i <= lease_count; i++) {
		if (leases[i].until == 0 || now_ms() < leases[i].until)
			continue;
		leases[i].until = 0;
		for (int k = 0; k < item_count; k++) {
			if (items[k].lease != i || items[k].value == NULL)
				continue;
			revision++;
			set_item(items[k].key, NULL, 0);
			changed = true;
		}
	}
	if (changed)
		record("store: a lease ended");
	run_watches();
	after_ms(50, on_second, arg);
}

/* --- calls --- */

static void get_parameter(const char *path, const char *name, char *out, size_t size)
{
	char wanted[32];
	const char *at;
	size_t len = 0;

	snprintf(wanted, sizeof(wanted), "%s=", name);
	out[0] = '\0';
	at = strchr(path, '?');
	while (at != NULL && strncmp(at + 1, wanted, strlen(wanted)) != 0)
		at = strchr(at + 1, '&');
	if (at == NULL)
		return;
	at += 1 + strlen(wanted);
	while (*at != '\0' && *at != '&' && len + 1 < size) {
		unsigned code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			out[len++] = (char)code;
			at += 3;
		} else {
			out[len++] = *at++;
		}
	}
	out[len] = '\0';
}

static void on_range(conn_t *conn, const char *path)
{
	char prefix[200];
	char first[200];
	json_t *list = json_array();

	get_parameter(path, "prefix", prefix, sizeof(prefix));
	get_parameter(path, "after", first, sizeof(first));
	for (int i = 0; i < item_count; i++) {
		const item_t *item = &items[i];

		if (item->value != NULL && strncmp(item->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(item->key, first) > 0)
			json_array_append_new(list, encode(item->key, item->value, item->rev,
							   item->created, item->lease));
	}
	answer(conn, 200,
	       json_pack("{s:o, s:b, s:I}", "items", list, "truncated", 0, "asOf",
			 (json_int_t)revision));
}

static void on_watch(conn_t *conn, const char *path)
{
	watch_t *watch = calloc(1, sizeof(*watch));
	char text[200];

	watch->conn = conn;
	get_parameter(path, "prefix", watch->prefix, sizeof(watch->prefix));
	get_parameter(path, "after", text, sizeof(text));
	watch->after = atol(text);
	get_parameter(path, "waitMs", text, sizeof(text));
	watch->until = now_ms() + (double)atol(text);
	watch->next = watches;
	watches = watch;
	run_watches();
}

static bool is_own_key(const char *key)
{
	return strncmp(key, "op/", 3) != 0 && strncmp(key, "servers/", 8) != 0;
}

static bool is_lease_alive(long lease)
{
	return lease == 0 || (lease <= lease_count && leases[lease].until > now_ms());
}

static void on_txn(conn_t *conn, json_t *body)
{
	json_t *expected = json_object_get(body, "expected");
	json_t *writes = json_object_get(body, "writes");
	json_t *deletes = json_object_get(body, "deletes");
	json_t *list = json_array();
	bool holds = true;
	size_t i;
	json_t *row;

	json_array_foreach (expected, i, row) {
		const char *key = json_string_value(json_object_get(row, "key"));
		const item_t *item = find_item(key);
		long rev = item != NULL && item->value != NULL ? item->rev : 0;

		holds = holds && rev == json_integer_value(json_object_get(row, "rev"));
		if (rev != 0)
			json_array_append_new(list, encode(key, item->value, item->rev,
							   item->created, item->lease));
	}
	if (!holds) {
		answer(conn, 412, json_pack("{s:o}", "items", list));
		return;
	}
	json_decref(list);
	json_array_foreach (writes, i, row) {
		if (!is_own_key(json_string_value(json_object_get(row, "key")))) {
			answer(conn, 403, NULL);
			return;
		}
		if (!is_lease_alive(json_integer_value(json_object_get(row, "lease")))) {
			answer(conn, 404, NULL);
			return;
		}
	}
	revision++;
	json_array_foreach (writes, i, row)
		set_item(json_string_value(json_object_get(row, "key")),
			 json_string_value(json_object_get(row, "value")),
			 json_integer_value(json_object_get(row, "lease")));
	json_array_foreach (deletes, i, row)
		set_item(json_string_value(row), NULL, 0);
	answer(conn, 200, json_pack("{s:I}", "rev", (json_int_t)revision));
	run_watches();
}

static void on_lease(conn_t *conn, json_t *body)
{
	long lease = ++lease_count;

	if (lease >= LEASES_MAX) {
		answer(conn, 503, NULL);
		return;
	}
	leases[lease].ttl = json_integer_value(json_object_get(body, "ttlMs"));
	leases[lease].until = now_ms() + (double)leases[lease].ttl;
	answer(conn, 200,
	       json_pack("{s:I, s:I}", "lease", (json_int_t)lease, "ttlMs",
			 (json_int_t)leases[lease].ttl));
}

static void on_keep(conn_t *conn, long lease)
{
	if (lease <= 0 || lease > lease_count || leases[lease].until <= now_ms()) {
		answer(conn, 404, NULL);
		return;
	}
	leases[lease].until = now_ms() + (double)leases[lease].ttl;
	answer(conn, 200, json_pack("{s:I}", "ttlMs", (json_int_t)leases[lease].ttl));
}

static void on_lease_end(conn_t *conn, long lease)
{
	if (lease > 0 && lease <= lease_count)
		leases[lease].until = 1;
	answer(conn, 200, NULL);
}

static void on_promote(conn_t *conn, json_t *body, const char *head)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *fence = strcasestr(head, "X-Cyclamenspan-Fence-Token:");
	bool done = id != NULL && members_promote(id);

	record("promote %s fence %d answered %d", id != NULL ? id : "?",
	       fence != NULL ? atoi(fence + strlen("X-Cyclamenspan-Fence-Token:")) : 0,
	       done ? 200 : 409);
	answer(conn, done ? 200 : 409, NULL);
}

static void dispatch(conn_t *conn, const char *head, const char *text, size_t len)
{
	char method[16];
	char path[1024];
	json_t *body = len != 0 ? json_loadb(text, len, 0, NULL) : NULL;

	if (sscanf(head, "%15s %1023s", method, path) != 2) {
		conn_close(conn);
	} else if (strncmp(path, "/kv-range", 9) == 0) {
		on_range(conn, path);
	} else if (strncmp(path, "/kv-watch", 9) == 0) {
		on_watch(conn, path);
	} else if (strcmp(path, "/kv-txn") == 0) {
		on_txn(conn, body);
	} else if (strcmp(path, "/kv-lease") == 0) {
		on_lease(conn, body);
	} else if (strncmp(path, "/kv-keep/", 9) == 0) {
		on_keep(conn, atol(path + 9));
	} else if (strncmp(path, "/kv-lease-end/", 14) == 0) {
		on_lease_end(conn, atol(path + 14));
	} else if (strcmp(path, "/promote") == 0) {
		on_promote(conn, body, head);
	} else {
		answer(conn, 404, NULL);
	}
	json_decref(body);
}

static void on_http_input(conn_t *conn)
{
	for (;;) {
		char *end =
			conn->in_len != 0 ? memmem(conn->in, conn->in_len, "\r\n\r\n", 4) : NULL;
		const char *length;
		size_t head_len;
		size_t body_len = 0;
		char *head;
		char *body;

		if (end == NULL)
			return;
		head_len = (size_t)(end - conn->in) + 4;
		head = strndup(conn->in, head_len);
		length = strcasestr(head, "\r\nContent-Length:");
		if (length != NULL)
			body_len = strtoul(length + strlen("\r\nContent-Length:"), NULL, 10);
		if (conn->in_len < head_len + body_len) {
			free(head);
			return;
		}
		body = strndup(conn->in + head_len, body_len);
		conn_consume(conn, head_len + body_len);
		dispatch(conn, head, body, body_len);
		free(head);
		free(body);
		if (conn->dead)
			return;
	}
}

static void on_http_closed(conn_t *conn)
{
	drop_watches_of(conn);
}

static const conn_ops_t http_ops = {.on_input = on_http_input, .on_closed = on_http_closed};

static void on_accept(conn_t *conn, void *arg)
{
	(void)arg;
	conn->ops = &http_ops;
}

void store_start(void)
{
	int fd;

	store_listener_port = listen_any(on_accept, NULL, &fd);
	promotion_listener_port = listen_any(on_accept, NULL, &fd);
	on_second(NULL);
}
