/* Encoding of messages between proxies: round trip, unknown fields, invalid and corrupt input. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "wire.h"

static message_t *round_trip(void *parent, const message_t *message)
{
	msgpack_sbuffer buffer;
	char *from = NULL;
	message_t *decoded;

	msgpack_sbuffer_init(&buffer);
	wire_encode(&buffer, "p1", message);
	decoded = wire_decode(parent, buffer.data, buffer.size, &from);
	msgpack_sbuffer_destroy(&buffer);
	if (decoded != NULL)
		g_assert_cmpstr(from, ==, "p1");
	return decoded;
}

static void test_execute(void)
{
	void *parent = talloc_new(NULL);
	query_t query = {
		.verb = VERB_STATEMENT,
		.service = "s",
		.class_name = "c",
		.text = "SELECT 1",
		.params = "[1]",
		.repeatable = true,
		.min_position = {.term = 3, .lsn = 1ull << 40},
		.time_left = 77,
	};
	message_t message = {.kind = MESSAGE_EXECUTE,
			     .incarnation = 5,
			     .sent_at = 9,
			     .echo = 8,
			     .request = 42,
			     .query = &query};
	message_t *decoded = round_trip(parent, &message);

	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->request, ==, 42);
	g_assert_cmpuint(decoded->echo, ==, 8);
	g_assert_cmpstr(decoded->query->text, ==, "SELECT 1");
	g_assert_null(decoded->query->request_id);
	g_assert_true(decoded->query->repeatable);
	g_assert_false(decoded->query->resend);
	g_assert_cmpuint(decoded->query->min_position.lsn, ==, 1ull << 40);
	talloc_free(parent);
}

static void test_table_push(void)
{
	void *parent = talloc_new(NULL);
	table_entry_t entries[] = {{"row/a/b", "{}", 3}, {"row/a/c", NULL, 4}};
	message_t message = {.kind = MESSAGE_TABLE_PUSH,
			     .incarnation = 1,
			     .table_version = 4,
			     .entries = entries,
			     .entry_count = 2};
	message_t *decoded = round_trip(parent, &message);

	g_assert_cmpuint(decoded->entry_count, ==, 2);
	g_assert_cmpstr(decoded->entries[0].value, ==, "{}");
	g_assert_null(decoded->entries[1].value);
	g_assert_cmpuint(decoded->entries[1].version, ==, 4);
	talloc_free(parent);
}

/* Fields that a later version of the program may add are skipped. */
static void test_unknown_field(void)
{
	void *parent = talloc_new(NULL);
	msgpack_sbuffer buffer;
	msgpack_packer pk;
	char *from = NULL;
	message_t *decoded;
	const char *const keys[] = {"v", "inc", "news", "from"};

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&pk, 4);
	for (int i = 0; i < 4; i++) {
		msgpack_pack_str(&pk, strlen(keys[i]));
		msgpack_pack_str_body(&pk, keys[i], strlen(keys[i]));
		if (i < 2) {
			msgpack_pack_int(&pk, 1);
		} else if (i == 2) {
			msgpack_pack_array(&pk, 1);
			msgpack_pack_nil(&pk);
		} else {
			msgpack_pack_str(&pk, 2);
			msgpack_pack_str_body(&pk, "p9", 2);
		}
	}
	decoded = wire_decode(parent, buffer.data, buffer.size, &from);
	g_assert_nonnull(decoded);
	g_assert_cmpstr(from, ==, "p9");
	g_assert_cmpint(decoded->kind, ==, MESSAGE_HEARTBEAT);
	msgpack_sbuffer_destroy(&buffer);
	talloc_free(parent);
}

/* The decoder rejects messages that lack required parts or have enum values out of range. */
static void test_invalid_messages(void)
{
	void *parent = talloc_new(NULL);
	query_t no_text = {.verb = VERB_STATEMENT, .service = "s", .class_name = "c"};
	query_t no_row = {.verb = VERB_BEGIN};
	answer_t bad_outcome = {.outcome = (outcome_t)9};
	const message_t bad[] = {
		{.kind = MESSAGE_HEARTBEAT},
		{.kind = (message_kind_t)77, .incarnation = 1},
		{.kind = MESSAGE_EXECUTE, .incarnation = 1},
		{.kind = MESSAGE_EXECUTE, .incarnation = 1, .query = &no_text},
		{.kind = MESSAGE_EXECUTE, .incarnation = 1, .query = &no_row},
		{.kind = MESSAGE_ANSWER, .incarnation = 1},
		{.kind = MESSAGE_ANSWER, .incarnation = 1, .answer = &bad_outcome},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_null(round_trip(parent, &bad[i]));
	talloc_free(parent);
}

/* Truncated messages are rejected, and a message with one bit flipped causes no crash. */
static void test_corrupt_messages(void)
{
	void *parent = talloc_new(NULL);
	query_t query = {.verb = VERB_BEGIN, .service = "s", .class_name = "c", .time_left = 5};
	message_t message = {.kind = MESSAGE_EXECUTE, .incarnation = 1, .query = &query};
	msgpack_sbuffer buffer;
	char *from;

	msgpack_sbuffer_init(&buffer);
	wire_encode(&buffer, "p1", &message);
	for (size_t len = 0; len < buffer.size; len++)
		g_assert_null(wire_decode(parent, buffer.data, len, &from));
	for (size_t i = 0; i < buffer.size; i++) {
		for (int bit = 0; bit < 8; bit++) {
			buffer.data[i] ^= (char)(1 << bit);
			wire_decode(parent, buffer.data, buffer.size, &from);
			buffer.data[i] ^= (char)(1 << bit);
		}
	}
	msgpack_sbuffer_destroy(&buffer);
	talloc_free(parent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/execute", test_execute);
	g_test_add_func("/wire/table-push", test_table_push);
	g_test_add_func("/wire/unknown-field", test_unknown_field);
	g_test_add_func("/wire/unsound", test_invalid_messages);
	g_test_add_func("/wire/garbage", test_corrupt_messages);
	return g_test_run();
}
