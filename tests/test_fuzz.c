/*
 * Mutation fuzzing of every decoder of input from callers, backend servers, the store and other
 * proxies. No decoder may read outside its input, and what it decodes must encode to the same text
 * again. The inputs to mutate are the files of tests/fuzz/DECODER; an input that has revealed a
 * fault stays there.
 *
 *	test_fuzz [ROUNDS [SEED]]	rounds for each decoder
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>
#include <talloc.h>

#include "config_decode.h"
#include "config_hash_keys.h"
#include "entry.h"
#include "etcd.h"
#include "fleet_codec.h"
#include "framing.h"
#include "protocol.h"
#include "session.h"
#include "wire.h"

#define CORPUS_DIR     "tests/fuzz"
#define ROUNDS_DEFAULT 20000
#define SEED_DEFAULT   1
#define MUTATIONS_MAX  6
#define INPUT_MAX      16384

static unsigned rounds = ROUNDS_DEFAULT;
static unsigned seed = SEED_DEFAULT;

/* The target and round being run, which are printed when a fault ends the process. */
static struct {
	const char *target;
	unsigned round;
} now_played;

/* --- faults --- */

/* Undefined behaviour ends the process; by default the sanitizer only logs it. */
const char *__ubsan_default_options(void)
{
	return "halt_on_error=1:print_stacktrace=1";
}

static void print_round(void)
{
	g_printerr("fuzz: target %s, seed %u, round %u (0: an input of the corpus)\n",
		   now_played.target, seed, now_played.round);
}

static void on_abort(int signo)
{
	(void)signo;
	print_round();
}

#ifdef __SANITIZE_ADDRESS__
void __sanitizer_set_death_callback(void (*callback)(void));
#endif

static void install_fault_handlers(void)
{
	signal(SIGABRT, on_abort);
#ifdef __SANITIZE_ADDRESS__
	__sanitizer_set_death_callback(print_round);
#endif
}

/* --- the decoders --- */

/* The buffer is exactly len bytes long, so that the sanitizer detects a read beyond it. */
typedef void (*check_t)(const char *data, size_t len);

static void check_caller(const char *data, size_t len)
{
	caller_message_t message;
	member_request_t request = {.kind = REQUEST_FORWARD, .statement = &message.statement};
	protocol_buffer_t again = {0};
	size_t line = protocol_line_length(data, len, 0);

	g_assert_cmpuint(line, <=, len);
	protocol_decode_caller_message(data, len, &message);
	if (message.kind != CALLER_QUERY || message.statement.kind == STATEMENT_MALFORMED)
		return;
	protocol_encode_request(&again, &request);
	g_assert_cmpmem(again.data, again.len - 2, data, len);
	protocol_buffer_free(&again);
}

/* A reply decodes equally whether it arrives at once, or in two parts in a buffer that moves. */
static void check_reply(const char *data, size_t len)
{
	reply_scan_t whole = {0};
	reply_scan_t parts = {0};
	reply_progress_t progress = protocol_scan_reply(&whole, data, len);
	size_t first = len / 2;
	char *copy = g_memdup2(data, first + 1);
	reply_progress_t first_progress = protocol_scan_reply(&parts, copy, first);
	member_status_t status;

	if (first_progress == REPLY_INCOMPLETE)
		g_assert_cmpint(protocol_scan_reply(&parts, data, len), ==, progress);
	else
		g_assert_cmpint(first_progress, ==, progress);
	g_assert_cmpuint(parts.parsed_len, ==, whole.parsed_len);
	g_assert_cmpuint(whole.parsed_len, <=, len);
	g_assert_cmpint(parts.reply.ok, ==, whole.reply.ok);
	g_assert_cmpuint(parts.reply.row.len, ==, whole.reply.row.len);
	if (progress == REPLY_COMPLETE) {
		g_assert_true(whole.reply.raw.at == data);
		g_assert_cmpuint(whole.reply.raw.len, ==, whole.parsed_len);
	}
	protocol_decode_status(whole.reply.row, &status);
	g_free(copy);
}

static void check_fleet(const char *data, size_t len)
{
	void *parent = talloc_new(NULL);
	const peer_message_t *message = peer_message_decode(parent, data, len);

	if (message != NULL) {
		char *text = peer_message_encode(message);
		const peer_message_t *back = peer_message_decode(parent, text, strlen(text));
		char *again;

		g_assert_nonnull(back);
		again = peer_message_encode(back);
		g_assert_cmpstr(again, ==, text);
		free(again);
		free(text);
	}
	talloc_free(parent);
}

/* A decoded time is later added to the clock, and the sum must not wrap around. */
static void assert_time(usec_t time)
{
	g_assert_cmpuint(time, <, USEC_NEVER / 2);
}

/* The keys of a configuration from the store are replaced by digests before it is decoded. */
static void check_config(const char *data, size_t len)
{
	char *sealed = config_hash_keys(NULL, data, len);
	routes_t *routes = config_decode(NULL, sealed, strlen(sealed));

	talloc_free(sealed);
	if (routes == NULL)
		return;
	assert_time(routes->tx_idle_timeout);
	list_for_each (it, &routes->routes) {
		const route_t *route = list_entry(it, route_t, node);

		g_assert_nonnull(routes_find(routes, route->database));
		g_assert_nonnull(route->service);
		assert_time(route->max_age);
		assert_time(route->statement_timeout);
		assert_time(route->objective);
	}
	list_for_each (it, &routes->services)
		g_assert_nonnull(
			routes_find_service(routes, list_entry(it, service_limits_t, node)->name));
	talloc_free(routes);
}

static void check_entry(const char *data, size_t len)
{
	member_entry_t entry;
	const char *reason;
	json_t *root = member_entry_decode(data, len, "id", &entry, &reason);

	if (root != NULL) {
		g_assert_null(reason);
		g_assert_cmpstr(entry.service, !=, "");
		g_assert_nonnull(strchr(entry.address, ':'));
		g_assert_cmpstr(entry.zone, !=, "");
		g_assert_cmpint(entry.slots, >=, 0);
		g_assert_cmpint(entry.started, >=, 0);
	} else {
		g_assert_nonnull(reason);
	}
	json_decref(root);
}

static void check_wire(const char *data, size_t len)
{
	void *parent = talloc_new(NULL);
	char *from = NULL;
	const message_t *message = wire_decode(parent, data, len, &from);

	if (message != NULL) {
		msgpack_sbuffer first;
		msgpack_sbuffer second;
		const message_t *back;

		msgpack_sbuffer_init(&first);
		msgpack_sbuffer_init(&second);
		wire_encode(&first, from, message);
		back = wire_decode(parent, first.data, first.size, &from);
		g_assert_nonnull(back);
		wire_encode(&second, from, back);
		g_assert_cmpmem(second.data, second.size, first.data, first.size);
		msgpack_sbuffer_destroy(&first);
		msgpack_sbuffer_destroy(&second);
	}
	talloc_free(parent);
}

static const unsigned char token_key[SESSION_KEY_BYTES];

/* Returns a validly signed session token with this content. */
static char *make_signed_token(const char *data, size_t len)
{
	unsigned char *raw = g_malloc(crypto_auth_BYTES + len);
	size_t size = sodium_base64_ENCODED_LEN(crypto_auth_BYTES + len,
						sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	char *token = g_malloc(size);

	memcpy(raw + crypto_auth_BYTES, data, len);
	crypto_auth(raw, raw + crypto_auth_BYTES, len, token_key);
	sodium_bin2base64(token, size, raw, crypto_auth_BYTES + len,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	g_free(raw);
	return token;
}

static void check_session_token(const char *token)
{
	session_t *session = talloc_zero(NULL, session_t);
	session_t *back = talloc_zero(NULL, session_t);
	char *first = NULL;
	char *second;

	if (session_decode(token_key, token, session) == 0)
		first = session_encode(session, token_key, session);
	if (first != NULL) {
		g_assert_cmpint(session_decode(token_key, first, back), ==, 0);
		second = session_encode(back, token_key, back);
		g_assert_cmpstr(second, ==, first);
	}
	talloc_free(session);
	talloc_free(back);
}

/* Tries the input as a token, and as the content of a token that is signed with the fleet's key. */
static void check_token(const char *data, size_t len)
{
	char *text = g_strndup(data, len);
	char *token = make_signed_token(data, len);

	check_session_token(text);
	check_session_token(token);
	g_free(token);
	g_free(text);
}

static void check_framing(const char *data, size_t len)
{
	framing_is_ambiguous(data, len);
}

/* Returns a key of the store as etcd's gateway sends it, whose value is this text. */
static json_t *make_stored_key(const char *data, size_t len)
{
	gchar *value = g_base64_encode((const guchar *)data, len);
	json_t *kv = json_pack("{s:s, s:s, s:s}", "key", "aXRlbS9h" /* item/a */, "mod_revision",
			       "7", "value", value);

	g_free(value);
	return kv;
}

/* The table's head and entries as the store holds them; the ids of edits are kept in the next head.
 */
static void check_table(const char *data, size_t len)
{
	void *parent = talloc_new(NULL);
	json_t *kv = make_stored_key(data, len);
	json_t *kvs = json_pack("[O]", kv);
	const commit_action_t commit = {.table_version = 2, .edit_id = "next", .author = "fuzz"};
	table_entry_t *entries;
	etcd_head_t head = {0};
	json_t *request;

	etcd_read_head(kv, &head);
	etcd_head_has_edit(&head, "e2");
	g_assert_false(etcd_head_has_edit(&head, NULL));
	request = etcd_commit_request("", &commit, head.edits);
	g_assert_nonnull(request);
	g_assert_cmpuint(etcd_read_entries("", parent, kvs, &entries), <=, 1);
	json_decref(request);
	json_decref(head.edits);
	json_decref(kvs);
	json_decref(kv);
	talloc_free(parent);
}

/* --- changing input --- */

static const char *const words[] = {
	"\r\n",
	"\r",
	"\n",
	" ",
	"",
	"-",
	"0",
	"-1",
	"18446744073709551616",
	"1e309",
	"QUERY ",
	"READY ",
	"ROW ",
	"DONE ",
	"null",
	"true",
	"{}",
	"[]",
	"\"\"",
	"\"a\"",
	":",
	",",
	"9223372036854775807",
	"\\u0000",
	"\xff",
	"\xdf\xff\xff\xff\xff",
};

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *load_corpus(const char *target)
{
	char *path = g_build_filename(CORPUS_DIR, target, NULL);
	GPtrArray *corpus = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL)
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	/* Sorted, so that a seed gives the same rounds on every file system. */
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		char *data = NULL;
		gsize len = 0;

		g_assert_true(g_file_get_contents(names->pdata[i], &data, &len, NULL));
		g_ptr_array_add(corpus, g_bytes_new_take(data, len));
	}
	g_assert_cmpuint(corpus->len, >, 0);
	g_dir_close(dir);
	g_ptr_array_unref(names);
	g_free(path);
	return corpus;
}

static guint random_below(GRand *rand, guint count)
{
	return count > 0 ? (guint)g_rand_int_range(rand, 0, (gint32)count) : 0;
}

static GBytes *pick_input(GRand *rand, const GPtrArray *corpus)
{
	return corpus->pdata[random_below(rand, corpus->len)];
}

static void splice_input(GRand *rand, GString *text, GBytes *other)
{
	gsize len;
	const char *data = g_bytes_get_data(other, &len);
	guint from = random_below(rand, (guint)len);

	g_string_truncate(text, random_below(rand, (guint)text->len));
	g_string_append_len(text, data + from, (gssize)(len - from));
}

static void repeat_range(GRand *rand, GString *text, guint at)
{
	guint len = random_below(rand, (guint)(text->len - at));
	char *part = g_strndup(text->str + at, len);

	for (guint i = random_below(rand, 8); i > 0 && text->len < INPUT_MAX; i--)
		g_string_insert_len(text, at, part, (gssize)strlen(part));
	g_free(part);
}

static void mutate(GRand *rand, GString *text, const GPtrArray *corpus)
{
	guint at = random_below(rand, (guint)text->len);

	switch (random_below(rand, 7)) {
	case 0:
		if (text->len > 0)
			text->str[at] = (char)(text->str[at] ^ (1 << random_below(rand, 8)));
		break;
	case 1:
		if (text->len > 0)
			text->str[at] = (char)random_below(rand, 256);
		break;
	case 2:
		g_string_erase(text, at, (gssize)random_below(rand, (guint)(text->len - at)));
		break;
	case 3:
		g_string_insert(text, at, words[random_below(rand, G_N_ELEMENTS(words))]);
		break;
	case 4:
		repeat_range(rand, text, at);
		break;
	case 5:
		splice_input(rand, text, pick_input(rand, corpus));
		break;
	default:
		g_string_truncate(text, at);
	}
}

/* --- playing --- */

typedef struct target {
	const char *name;
	check_t check;
} target_t;

static const target_t targets[] = {
	{"caller", check_caller}, {"reply", check_reply},     {"fleet", check_fleet},
	{"config", check_config}, {"entry", check_entry},     {"wire", check_wire},
	{"token", check_token},	  {"framing", check_framing}, {"table", check_table},
};

static void check_exact_buffer(const target_t *target, const char *data, size_t len)
{
	/* At least one byte, since decoders are never called with a null pointer. */
	char *exact = g_malloc(len > 0 ? len : 1);

	memcpy(exact, data, len);
	target->check(exact, len);
	g_free(exact);
}

/* The input of a round depends only on the seed and the round's number. */
static void run_round(const target_t *target, const GPtrArray *corpus, unsigned round)
{
	GRand *rand = g_rand_new_with_seed_array((const guint32[]){seed, round}, 2);
	gsize len;
	const char *data = g_bytes_get_data(pick_input(rand, corpus), &len);
	GString *text = g_string_new_len(data, (gssize)len);

	for (guint i = 1 + random_below(rand, MUTATIONS_MAX); i > 0; i--)
		mutate(rand, text, corpus);
	check_exact_buffer(target, text->str, text->len);
	g_string_free(text, TRUE);
	g_rand_free(rand);
}

static void run_target(gconstpointer data)
{
	const target_t *target = data;
	GPtrArray *corpus = load_corpus(target->name);

	now_played.target = target->name;
	now_played.round = 0;
	for (guint i = 0; i < corpus->len; i++) {
		gsize len;
		const char *text = g_bytes_get_data(corpus->pdata[i], &len);

		check_exact_buffer(target, text, len);
	}
	for (unsigned round = 1; round <= rounds; round++) {
		now_played.round = round;
		run_round(target, corpus, round);
	}
	g_ptr_array_unref(corpus);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	if (argc > 1)
		rounds = (unsigned)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seed = (unsigned)strtoul(argv[2], NULL, 10);
	install_fault_handlers();
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		char *path = g_strdup_printf("/fuzz/%s", targets[i].name);

		g_test_add_data_func(path, &targets[i], run_target);
		g_free(path);
	}
	return g_test_run();
}
