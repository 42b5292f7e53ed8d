/*
 * The line protocol of callers and members: replies split at every byte, two messages in one
 * buffer, sizes, control characters, and random input.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "protocol.h"

#define FUZZ_ROUNDS 20000

static void assert_slice(slice_t slice, const char *text)
{
	g_assert_cmpmem(slice.at, slice.len, text, strlen(text));
}

static caller_message_t decode(const char *line)
{
	caller_message_t message;

	protocol_decode_caller_message(line, strlen(line), &message);
	return message;
}

static void test_start(void)
{
	caller_message_t message = decode("START lepu270 u3f1 and more");

	g_assert_cmpint(message.kind, ==, CALLER_START);
	assert_slice(message.database, "lepu270");
	g_assert_cmpint(decode("BYE").kind, ==, CALLER_BYE);
	g_assert_cmpint(decode("START ").kind, ==, CALLER_INVALID);
	g_assert_cmpint(decode("start x y").kind, ==, CALLER_INVALID);
	g_assert_cmpint(decode("").kind, ==, CALLER_INVALID);
	g_assert_cmpint(decode("GET / HTTP/1.1").kind, ==, CALLER_INVALID);
}

typedef struct query_case {
	const char *line;
	statement_kind_t kind;
	const char *name;
	const char *value;
	bool writes;
} query_case_t;

static const query_case_t query_cases[] = {
	{"QUERY a BEGIN", STATEMENT_BEGIN, "", "", false},
	{"QUERY a BEGIN READ", STATEMENT_BEGIN_READ, "", "", false},
	{"QUERY a BEGIN READ ", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a BEGIN WRITE", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a COMMIT", STATEMENT_COMMIT, "", "", false},
	{"QUERY a COMMIT now", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a ROLLBACK", STATEMENT_ROLLBACK, "", "", false},
	{"QUERY a READ 1a4", STATEMENT_READ, "", "", false},
	{"QUERY a READ", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a READ 1a4 1a5", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a AFTER 3.1 READ 1a4", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a WRITE 1a4 xk qp", STATEMENT_WRITE, "", "", true},
	{"QUERY a WRITE 1a4", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a SET lang cy GB", STATEMENT_SET, "lang", "cy GB", false},
	{"QUERY a SET lang", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a PREPARE s1 WRITE q2c", STATEMENT_PREPARE, "s1", "q2c", true},
	{"QUERY a PREPARE s1 READ q2c", STATEMENT_PREPARE, "s1", "q2c", false},
	{"QUERY a PREPARE s1 DROP q2c", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a PREPARE s1 READ", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a EXEC s1 1a4 xkqp", STATEMENT_EXEC, "s1", "1a4 xkqp", false},
	{"QUERY a EXEC s1", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a FORGET s1", STATEMENT_FORGET, "s1", "", false},
	{"QUERY a STATUS", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a RESET", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY - READ 1a4", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a READ 1\r4", STATEMENT_MALFORMED, NULL, NULL, false},
	{"QUERY a READ 1\n4", STATEMENT_MALFORMED, NULL, NULL, false},
};

static void test_queries(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(query_cases); i++) {
		const query_case_t *expected = &query_cases[i];
		caller_message_t message = decode(expected->line);

		g_test_message("%s", expected->line);
		g_assert_cmpint(message.kind, ==, CALLER_QUERY);
		g_assert_cmpint(message.statement.kind, ==, expected->kind);
		g_assert_cmpint(message.statement.writes, ==, expected->writes);
		if (expected->kind == STATEMENT_MALFORMED)
			continue;
		assert_slice(message.statement.id, "a");
		assert_slice(message.statement.text, expected->line + strlen("QUERY a "));
		if (expected->name[0] != '\0')
			assert_slice(message.statement.name, expected->name);
		if (expected->value[0] != '\0')
			assert_slice(message.statement.value, expected->value);
	}
}

/*
 * A program that reads C strings would take a NUL for the end of the line, and not check the
 * statement after it.
 */
static void test_nul(void)
{
	static const char line[] = "QUERY a READ 1\0QUERY b WRITE 1 x";
	caller_message_t message;

	protocol_decode_caller_message(line, sizeof(line) - 1, &message);
	g_assert_cmpint(message.statement.kind, ==, STATEMENT_MALFORMED);
}

/* Lines end with CR LF alone; a bare LF is part of the line. */
static void test_lines(void)
{
	g_assert_cmpuint(protocol_line_length("ab\r\ncd", 6, 0), ==, 4);
	g_assert_cmpuint(protocol_line_length("ab\ncd\r\n", 7, 0), ==, 7);
	g_assert_cmpuint(protocol_line_length("ab\r", 3, 0), ==, 0);
	g_assert_cmpuint(protocol_line_length("ab\r\n", 4, 3), ==, 4);
	g_assert_cmpuint(protocol_line_length("\n", 1, 0), ==, 0);
	g_assert_cmpuint(protocol_line_length("\r\n", 2, 0), ==, 2);
}

static const char complete_reply[] =
	"ROW qhzk wmt\r\nROW second\r\nDONE 7.1f3.c\r\nREADY T 3.1209\r\n";

static void check_complete_reply(const reply_scan_t *scan)
{
	g_assert_true(scan->reply.ok);
	g_assert_true(scan->reply.is_signed);
	g_assert_cmpint(scan->reply.tx, ==, TX_OPEN);
	g_assert_true(scan->reply.has_position);
	g_assert_cmpuint(scan->reply.position.term, ==, 3);
	g_assert_cmpuint(scan->reply.position.lsn, ==, 1209);
	g_assert_cmpuint(scan->reply.raw.len, ==, sizeof(complete_reply) - 1);
	assert_slice(scan->reply.row, "second");
}

/* The reply arrives in two parts, split at every byte, and the buffer moves in between. */
static void test_reply_in_parts(void)
{
	for (size_t cut = 0; cut < sizeof(complete_reply) - 1; cut++) {
		reply_scan_t scan = {0};
		char *first = g_strndup(complete_reply, cut);
		char *all = g_strdup(complete_reply);

		g_assert_cmpint(protocol_scan_reply(&scan, first, cut), ==, REPLY_INCOMPLETE);
		g_free(first);
		g_assert_cmpint(protocol_scan_reply(&scan, all, sizeof(complete_reply) - 1), ==,
				REPLY_COMPLETE);
		check_complete_reply(&scan);
		g_free(all);
	}
}

static reply_progress_t scan_reply_text(const char *text, reply_scan_t *scan)
{
	*scan = (reply_scan_t){0};
	return protocol_scan_reply(scan, text, strlen(text));
}

static void test_replies(void)
{
	reply_scan_t scan;

	g_assert_cmpint(scan_reply_text("ERR READONLY i-7f\r\nREADY E 3.1\r\nREADY I -\r\n", &scan),
			==, REPLY_COMPLETE);
	g_assert_false(scan.reply.ok);
	g_assert_cmpint(scan.reply.code, ==, CODE_READONLY);
	g_assert_cmpint(scan.reply.tx, ==, TX_FAILED);
	g_assert_cmpuint(scan.reply.raw.len, ==, strlen("ERR READONLY i-7f\r\nREADY E 3.1\r\n"));
	g_assert_cmpint(scan_reply_text("DONE -\r\nREADY I -\r\n", &scan), ==, REPLY_COMPLETE);
	g_assert_false(scan.reply.is_signed);
	g_assert_false(scan.reply.has_position);
	g_assert_cmpint(scan_reply_text("ERR WHATEVER\r\nREADY I -\r\n", &scan), ==,
			REPLY_COMPLETE);
	g_assert_cmpint(scan.reply.code, ==, CODE_OTHER);
	g_assert_cmpint(scan_reply_text("READY X 1.1\r\n", &scan), ==, REPLY_INVALID);
	g_assert_cmpint(scan_reply_text("DONE a\r\nDONE b\r\n", &scan), ==, REPLY_INVALID);
	g_assert_cmpint(scan_reply_text("DONE a\r\nROW b\r\n", &scan), ==, REPLY_INVALID);
	g_assert_cmpint(scan_reply_text("HELLO\r\n", &scan), ==, REPLY_INVALID);
	g_assert_cmpint(scan_reply_text("READY I 3.-1\r\n", &scan), ==, REPLY_COMPLETE);
	g_assert_false(scan.reply.has_position);
}

static void test_endless_reply(void)
{
	reply_scan_t scan = {0};
	size_t len = PROTOCOL_MESSAGE_MAX + 2;
	char *text = g_malloc(len);

	memset(text, 'x', len);
	g_assert_cmpint(protocol_scan_reply(&scan, text, len), ==, REPLY_INVALID);
	g_free(text);
}

static void test_status(void)
{
	member_status_t status;
	const char *row = "replica 3 3.1209 0 12 2 17";

	g_assert_true(protocol_decode_status(slice_of(row, strlen(row)), &status));
	g_assert_false(status.primary);
	g_assert_cmpuint(status.term, ==, 3);
	g_assert_cmpuint(status.received.lsn, ==, 1209);
	g_assert_false(protocol_decode_status(slice_of("primary", 7), &status));
	g_assert_false(protocol_decode_status((slice_t){0}, &status));
}

static void assert_request(const member_request_t *request, const char *text)
{
	protocol_buffer_t buffer = {0};

	protocol_encode_request(&buffer, request);
	assert_slice(slice_of(buffer.data, buffer.len), text);
	protocol_buffer_free(&buffer);
}

static void test_requests(void)
{
	caller_message_t read = decode("QUERY 5c0e READ 1a4");
	caller_message_t exec = decode("QUERY 5c0f EXEC s1 1a4 xkqp");
	member_request_t forward = {.kind = REQUEST_FORWARD,
				    .statement = &read.statement,
				    .has_after = true,
				    .after = {.term = 3, .lsn = 1207}};
	member_request_t renamed = {
		.kind = REQUEST_EXEC, .statement = &exec.statement, .name = slice_of("w12", 3)};
	member_request_t prepare = {.kind = REQUEST_PREPARE,
				    .name = slice_of("w12", 3),
				    .value = slice_of("q2c", 3),
				    .writes = true};

	assert_request(&forward, "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
	assert_request(&renamed, "QUERY 5c0f EXEC w12 1a4 xkqp\r\n");
	assert_request(&prepare, "QUERY - PREPARE w12 WRITE q2c\r\n");
	assert_request(&(member_request_t){.kind = REQUEST_BEGIN}, "QUERY - BEGIN\r\n");
	assert_request(&(member_request_t){.kind = REQUEST_DEMOTE, .term = 7},
		       "QUERY - DEMOTE 7\r\n");
}

static void test_answers(void)
{
	protocol_buffer_t buffer = {0};
	caller_reply_t refused = {.kind = REPLY_ERROR,
				  .code = CODE_BUSY,
				  .text = "later; retry-after-ms=20",
				  .tx = TX_FAILED};

	protocol_encode_reply(&buffer, &refused);
	assert_slice(slice_of(buffer.data, buffer.len),
		     "ERR BUSY later; retry-after-ms=20\r\nREADY E -\r\n");
	protocol_buffer_free(&buffer);
}

/* Random input, mostly of words of the protocol, so that it reaches most of the decoder. */
static size_t make_random_input(GRand *rand, char *out, size_t size)
{
	static const char *const words[] = {
		"QUERY ", "START ", "READY ", "ROW ", "DONE ", "ERR ",	"BEGIN",  "READ ",
		"WRITE ", "EXEC ",  "SET ",   "I ",   "T ",    "3.12 ", "\r\n",	  "\n",
		"\r",	  " ",	    "-",      "a ",   "BYE",   "BUSY ", "AFTER ",
	};
	size_t len = 0;
	int parts = g_rand_int_range(rand, 0, 12);

	for (int i = 0; i < parts; i++) {
		const char *word = words[g_rand_int_range(rand, 0, G_N_ELEMENTS(words))];

		if (len + strlen(word) + 1 > size)
			break;
		memcpy(out + len, word, strlen(word));
		len += strlen(word);
		if (g_rand_int_range(rand, 0, 6) == 0)
			out[len++] = (char)g_rand_int_range(rand, 0, 256);
	}
	return len;
}

static bool is_inside(slice_t slice, const char *data, size_t len)
{
	return slice.len == 0 || (slice.at >= data && slice.at + slice.len <= data + len);
}

/*
 * For any input no decoder reads outside of it (which the sanitizers detect), every slice lies
 * is_inside it, and a reply decoded in two parts gives the same result as in one.
 */
static void test_fuzz(void)
{
	GRand *rand = g_rand_new_with_seed(20260101);

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		char input[256];
		size_t len = make_random_input(rand, input, sizeof(input));
		char *data = g_memdup2(input, len != 0 ? len : 1);
		size_t cut = len != 0 ? (size_t)g_rand_int_range(rand, 0, (int)len) : 0;
		caller_message_t message;
		reply_scan_t whole = {0};
		reply_scan_t parts = {0};
		reply_progress_t whole_progress;

		protocol_decode_caller_message(data, len, &message);
		g_assert_true(is_inside(message.database, data, len));
		g_assert_true(is_inside(message.statement.id, data, len));
		g_assert_true(is_inside(message.statement.text, data, len));
		g_assert_true(is_inside(message.statement.name, data, len));
		g_assert_true(is_inside(message.statement.value, data, len));
		whole_progress = protocol_scan_reply(&whole, data, len);
		if (protocol_scan_reply(&parts, data, cut) == REPLY_INCOMPLETE)
			g_assert_cmpint(protocol_scan_reply(&parts, data, len), ==, whole_progress);
		g_assert_cmpuint(whole.parsed_len, <=, len);
		g_free(data);
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/protocol/start", test_start);
	g_test_add_func("/protocol/queries", test_queries);
	g_test_add_func("/protocol/nul", test_nul);
	g_test_add_func("/protocol/lines", test_lines);
	g_test_add_func("/protocol/reply-in-pieces", test_reply_in_parts);
	g_test_add_func("/protocol/replies", test_replies);
	g_test_add_func("/protocol/endless-reply", test_endless_reply);
	g_test_add_func("/protocol/status", test_status);
	g_test_add_func("/protocol/requests", test_requests);
	g_test_add_func("/protocol/answers", test_answers);
	g_test_add_func("/protocol/fuzz", test_fuzz);
	return g_test_run();
}
