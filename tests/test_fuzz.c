/*
 * Changed input for every decoder of what callers, backend servers, the store
 * and other proxies send. Nothing may be read outside the input, and what is
 * decoded encodes again to the same. Kept cases lie in tests/fuzz/DECODER; one
 * that once showed a fault stays there.
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
#include "fleet_codec.h"
#include "framing.h"
#include "protocol.h"
#include "session.h"
#include "wire.h"

#define KEPT_DIR       "tests/fuzz"
#define ROUNDS_DEFAULT 20000
#define SEED_DEFAULT   1
#define CHANGES_MAX    6
#define INPUT_MAX      16384

static unsigned rounds = ROUNDS_DEFAULT;
static unsigned seed = SEED_DEFAULT;

/* What is being played, for the line that is written when the process ends by a fault. */
static struct {
	const char *target;
	unsigned round;
} now_played;

/* --- faults --- */

/* A report of undefined behaviour is a failure here, not a line in the log. */
const char *__ubsan_default_options(void)
{
	return "halt_on_error=1:print_stacktrace=1";
}

static void tell_round(void)
{
	g_printerr("fuzz: target %s, seed %u, round %u (0: a kept case)\n", now_played.target, seed,
		   now_played.round);
}

static void on_abort(int signo)
{
	(void)signo;
	tell_round();
}

#ifdef __SANITIZE_ADDRESS__
void __sanitizer_set_death_callback(void (*callback)(void));
#endif

static void catch_faults(void)
{
	signal(SIGABRT, on_abort);
#ifdef __SANITIZE_ADDRESS__
	__sanitizer_set_death_callback(tell_round);
#endif
}

/* --- the decoders --- */

/* data is exactly len bytes long, so that reading behind it is noticed. */
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

/* The same whether it comes at once or in two parts that are moved in between. */
static void check_reply(const char *data, size_t len)
{
	reply_scan_t whole = {0};
	reply_scan_t parts = {0};
	reply_progress_t progress = protocol_scan_reply(&whole, data, len);
	size_t first = len / 2;
	char *copy = g_memdup2(data, first + 1);
	reply_progress_t begun = protocol_scan_reply(&parts, copy, first);
	member_status_t status;

	if (begun == REPLY_INCOMPLETE)
		g_assert_cmpint(protocol_scan_reply(&parts, data, len), ==, progress);
	else
		g_assert_cmpint(begun, ==, progress);
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

/* Times are added to the clock, and the sum must not wrap. */
static void assert_time(usec_t time)
{
	g_assert_cmpuint(time, <, USEC_NEVER / 2);
}

/* What the store holds is sealed before it is read. */
static void check_config(const char *data, size_t len)
{
	char *sealed = config_hash_keys(NULL, data, len);
	routes_t *routes = config_decode(NULL, sealed, strlen(sealed));

	talloc_free(sealed);
	if (routes == NULL)
		return;
	assert_time(routes->tx_idle);
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
			routes_service(routes, list_entry(it, service_limits_t, node)->name));
	talloc_free(routes);
}

static void check_entry(const char *data, size_t len)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	member_entry_t entry;
	const char *why;

	if (member_entry_decode(root, "id", &entry, &why)) {
		g_assert_null(why);
		g_assert_cmpstr(entry.service, !=, "");
		g_assert_nonnull(strchr(entry.address, ':'));
		g_assert_cmpstr(entry.zone, !=, "");
		g_assert_cmpint(entry.slots, >=, 0);
		g_assert_cmpint(entry.born, >=, 0);
	} else {
		g_assert_nonnull(why);
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

/* A token that the fleet could have made, around this text. */
static char *sign(const char *data, size_t len)
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

static void check_session(const char *token)
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

/* As a caller may send it, and as one with the fleet's key could have made it. */
static void check_token(const char *data, size_t len)
{
	char *text = g_strndup(data, len);
	char *token = sign(data, len);

	check_session(text);
	check_session(token);
	g_free(token);
	g_free(text);
}

static void check_framing(const char *data, size_t len)
{
	framing_is_ambiguous(data, len);
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

static GPtrArray *load_kept(const char *target)
{
	char *path = g_build_filename(KEPT_DIR, target, NULL);
	GPtrArray *kept = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL)
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	/* In one order, so that a seed plays the same everywhere. */
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		char *data = NULL;
		gsize len = 0;

		g_assert_true(g_file_get_contents(names->pdata[i], &data, &len, NULL));
		g_ptr_array_add(kept, g_bytes_new_take(data, len));
	}
	g_assert_cmpuint(kept->len, >, 0);
	g_dir_close(dir);
	g_ptr_array_unref(names);
	g_free(path);
	return kept;
}

static guint pick(GRand *rand, guint count)
{
	return count > 0 ? (guint)g_rand_int_range(rand, 0, (gint32)count) : 0;
}

static GBytes *pick_kept(GRand *rand, const GPtrArray *kept)
{
	return kept->pdata[pick(rand, kept->len)];
}

static void splice(GRand *rand, GString *text, GBytes *other)
{
	gsize len;
	const char *data = g_bytes_get_data(other, &len);
	guint from = pick(rand, (guint)len);

	g_string_truncate(text, pick(rand, (guint)text->len));
	g_string_append_len(text, data + from, (gssize)(len - from));
}

static void repeat_part(GRand *rand, GString *text, guint at)
{
	guint len = pick(rand, (guint)(text->len - at));
	char *part = g_strndup(text->str + at, len);

	for (guint i = pick(rand, 8); i > 0 && text->len < INPUT_MAX; i--)
		g_string_insert_len(text, at, part, (gssize)strlen(part));
	g_free(part);
}

static void change(GRand *rand, GString *text, const GPtrArray *kept)
{
	guint at = pick(rand, (guint)text->len);

	switch (pick(rand, 7)) {
	case 0:
		if (text->len > 0)
			text->str[at] = (char)(text->str[at] ^ (1 << pick(rand, 8)));
		break;
	case 1:
		if (text->len > 0)
			text->str[at] = (char)pick(rand, 256);
		break;
	case 2:
		g_string_erase(text, at, (gssize)pick(rand, (guint)(text->len - at)));
		break;
	case 3:
		g_string_insert(text, at, words[pick(rand, G_N_ELEMENTS(words))]);
		break;
	case 4:
		repeat_part(rand, text, at);
		break;
	case 5:
		splice(rand, text, pick_kept(rand, kept));
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
	{"token", check_token},	  {"framing", check_framing},
};

static void check_exact(const target_t *target, const char *data, size_t len)
{
	/* One byte where there is none, since decoders are never given a null pointer. */
	char *exact = g_malloc(len > 0 ? len : 1);

	memcpy(exact, data, len);
	target->check(exact, len);
	g_free(exact);
}

/* A round depends on nothing but the seed and its number. */
static void play_round(const target_t *target, const GPtrArray *kept, unsigned round)
{
	GRand *rand = g_rand_new_with_seed_array((const guint32[]){seed, round}, 2);
	gsize len;
	const char *data = g_bytes_get_data(pick_kept(rand, kept), &len);
	GString *text = g_string_new_len(data, (gssize)len);

	for (guint i = 1 + pick(rand, CHANGES_MAX); i > 0; i--)
		change(rand, text, kept);
	check_exact(target, text->str, text->len);
	g_string_free(text, TRUE);
	g_rand_free(rand);
}

static void play(gconstpointer data)
{
	const target_t *target = data;
	GPtrArray *kept = load_kept(target->name);

	now_played.target = target->name;
	now_played.round = 0;
	for (guint i = 0; i < kept->len; i++) {
		gsize len;
		const char *text = g_bytes_get_data(kept->pdata[i], &len);

		check_exact(target, text, len);
	}
	for (unsigned round = 1; round <= rounds; round++) {
		now_played.round = round;
		play_round(target, kept, round);
	}
	g_ptr_array_unref(kept);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	if (argc > 1)
		rounds = (unsigned)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seed = (unsigned)strtoul(argv[2], NULL, 10);
	catch_faults();
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		char *path = g_strdup_printf("/fuzz/%s", targets[i].name);

		g_test_add_data_func(path, &targets[i], play);
		g_free(path);
	}
	return g_test_run();
}
