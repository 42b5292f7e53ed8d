/*
 * Failures of real processes: killed, suspended and isolated processes, an outage of the platform,
 * and shutdown. The golden tests have the same cases for core alone; these include the links.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

#define EXIT_TIMEOUT_MS 20000

static gboolean is_done(const json_t *answer)
{
	return strcmp(harness_text_field(answer, "outcome"), "done") == 0;
}

static char *first_value(const json_t *answer)
{
	return g_strdup(json_string_value(
		json_array_get(json_array_get(json_object_get(answer, "rows"), 0), 0)));
}

static void assert_read_value(const harness_t *h, int proxy, const char *key, const char *value,
			      const char *token)
{
	json_t *answer = harness_read(h, proxy, "assignment", key, token);
	char *got = first_value(answer);

	g_assert_true(is_done(answer));
	g_assert_cmpstr(got, ==, value);
	g_free(got);
	json_decref(answer);
}

static char *write_record(const harness_t *h, int proxy, const char *key, const char *value,
			  const char *id)
{
	json_t *answer = harness_write(h, proxy, key, value, id, NULL);
	char *token;

	g_test_message("write %s: %s %s", value, harness_text_field(answer, "outcome"),
		       harness_text_field(answer, "detail"));
	g_assert_true(is_done(answer));
	token = g_strdup(harness_text_field(answer, "token"));
	json_decref(answer);
	return token;
}

/*
 * The primary's process is killed, which resets its connections and is thus detected. The next
 * write waits for the takeover and is done on another member; the session reads it through any
 * proxy.
 */
static void test_primary_killed(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	char *token;

	g_free(write_record(h, 0, "job-1", "v1", "a1"));
	harness_kill(&h->members[0]);
	token = write_record(h, 1, "job-1", "v2", "a2");
	assert_read_value(h, 2, "job-1", "v2", token);
	g_assert_cmpint(harness_find_primary(h), !=, 0);
	g_free(token);
	harness_stop(h);
}

/*
 * The primary is suspended, replaced, and resumes without notice of the takeover. No state of its
 * own is acknowledged then: a linearizable read through any proxy returns the new value, and the
 * old primary becomes a replica of the new one.
 */
static void test_primary_stopped(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	char *token;
	char *value = NULL;

	g_free(write_record(h, 0, "job-1", "v1", "a1"));
	kill(h->members[0], SIGSTOP);
	token = write_record(h, 1, "job-1", "v2", "a2");
	kill(h->members[0], SIGCONT);
	for (int proxy = 0; proxy < 3; proxy++)
		assert_read_value(h, proxy, "job-1", "v2", NULL);
	for (int i = 0; i < 100 && g_strcmp0(value, "v2") != 0; i++) {
		g_free(value);
		g_usleep(50000);
		value = harness_run_sql(h, 0, "SELECT value FROM records WHERE key = $1", "job-1");
	}
	g_assert_cmpstr(value, ==, "v2");
	g_free(value);
	g_free(token);
	harness_stop(h);
}

/*
 * The primary is isolated from its replicas but not from the proxies. It commits the write locally,
 * but the caller gets no answer until the write is done on another member. The counter is
 * incremented once in the surviving history.
 */
static void test_primary_isolated(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	json_t *answer;
	json_t *body;

	g_free(harness_run_sql(h, 0, "SELECT standin_cut($1)", "true"));
	body = json_pack("{s:s, s:s, s:s, s:[s], s:s, s:i}", "service", "dispatch", "class",
			 "assign", "statement",
			 "UPDATE records SET value = value + 1 WHERE key = $1 RETURNING value",
			 "params", "fee", "request_id", "fee-1", "deadline_ms", 5000);
	answer = harness_call(harness_caller_port(h, 1), "/v1/statement", body, NULL);
	g_assert_true(is_done(answer));
	g_assert_cmpstr(harness_text_field(answer, "member"), !=, "m0");
	json_decref(answer);
	g_free(harness_run_sql(h, 0, "SELECT standin_cut($1)", "false"));
	assert_read_value(h, 2, "fee", "1", NULL);
	harness_stop(h);
}

/*
 * The platform is down; meanwhile a proxy is replaced by a new one, then the primary is killed. The
 * new proxy receives the table from its peers, requests of callers are still done, and an edit of
 * the table fails with outcome unknown until the platform is back.
 */
static void test_platform_down(void)
{
	harness_t *h = harness_start_fleet(3, 5);

	json_decref(harness_call(h->ports.first, "/control", json_pack("{s:b}", "down", 1), NULL));
	g_usleep(4000000);
	g_free(write_record(h, 0, "job-1", "v1", "a1"));
	harness_kill(&h->proxies[2]);
	harness_start_proxy(h, 2, NULL);
	g_usleep(2000000);
	g_free(write_record(h, 2, "job-2", "v1", "b1"));
	harness_kill(&h->members[0]);
	g_free(write_record(h, 1, "job-1", "v2", "a2"));
	g_assert_cmpint(harness_run_ctl(h, 2, NULL, "table", "set", "row/dispatch/status",
					"max_age_ms=700", NULL),
			==, 4);
	json_decref(harness_call(h->ports.first, "/control", json_pack("{s:b}", "down", 0), NULL));
	g_usleep(3000000);
	g_assert_cmpint(harness_run_ctl(h, 2, NULL, "table", "set", "row/dispatch/status",
					"max_age_ms=800", NULL),
			==, 0);
	harness_stop(h);
}

/*
 * The home of the group is killed, then another proxy gets the same write three times, with one
 * request id. The write is retried at the next-ranked proxy and increments the counter once,
 * whichever attempt succeeds.
 */
static void test_home_killed(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	json_t *answer;
	json_t *body;

	g_free(write_record(h, other, "job-1", "v1", "a1"));
	harness_kill(&h->proxies[home]);
	for (int i = 0; i < 3; i++) {
		body = json_pack("{s:s, s:s, s:s, s:[s], s:s, s:i}", "service", "dispatch", "class",
				 "assign", "statement",
				 "UPDATE records SET value = value + 1 WHERE key = $1 "
				 "RETURNING value",
				 "params", "fee", "request_id", "fee-1", "deadline_ms", 5000);
		answer = harness_call(harness_caller_port(h, other), "/v1/statement", body, NULL);
		g_assert_true(is_done(answer));
		json_decref(answer);
	}
	assert_read_value(h, other, "fee", "1", NULL);
	harness_stop(h);
}

/* Begin a transaction through one proxy and insert through the next; returns its handle. */
static char *open_transaction(const harness_t *h, int proxy, const char *key)
{
	json_t *begun = harness_call(
		harness_caller_port(h, proxy), "/v1/begin",
		json_pack("{s:s, s:s}", "service", "dispatch", "class", "assign"), NULL);
	char *handle = g_strdup(harness_text_field(begun, "transaction"));
	json_t *inserted =
		harness_call(harness_caller_port(h, (proxy + 1) % 3), "/v1/transaction/statement",
			     json_pack("{s:s, s:s, s:[s, s]}", "transaction", handle, "statement",
				       "INSERT INTO records (key, value) VALUES ($1, $2)", "params",
				       key, "half"),
			     NULL);

	g_assert_true(is_done(begun));
	g_assert_true(is_done(inserted));
	json_decref(begun);
	json_decref(inserted);
	return handle;
}

/*
 * The proxy that runs an open transaction is killed. Its connection is closed and the server rolls
 * the transaction back; a commit through another proxy fails, and the inserted row is not there.
 */
static void test_tx_home_killed(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	char *handle = open_transaction(h, other, "job-7");
	json_t *answer;

	harness_kill(&h->proxies[home]);
	answer = harness_call(harness_caller_port(h, other), "/v1/commit",
			      json_pack("{s:s}", "transaction", handle), NULL);
	g_assert_false(is_done(answer));
	json_decref(answer);
	answer = harness_read(h, other, "assignment", "job-7", NULL);
	g_assert_true(is_done(answer));
	g_assert_cmpuint(json_array_size(json_object_get(answer, "rows")), ==, 0);
	json_decref(answer);
	g_free(handle);
	harness_stop(h);
}

typedef struct slow_statement {
	const harness_t *h;
	int proxy;
	json_t *answer;
} slow_statement_t;

static gpointer run_slow_statement(gpointer data)
{
	slow_statement_t *call = data;

	call->answer = harness_call(harness_caller_port(call->h, call->proxy), "/v1/statement",
				    json_pack("{s:s, s:s, s:s, s:[s]}", "service", "dispatch",
					      "class", "assign", "statement", "SELECT pg_sleep($1)",
					      "params", "1.2"),
				    NULL);
	return NULL;
}

/* Wait until the proxy has read a caller's request that it has not answered yet. */
static void wait_for_request(const harness_t *h, int proxy)
{
	gint64 end = g_get_monotonic_time() + EXIT_TIMEOUT_MS * 1000;
	json_int_t waiting = 0;

	while (waiting == 0) {
		json_t *state = harness_call_operator(h, proxy, "/v1/state", NULL);

		g_assert_cmpint(g_get_monotonic_time(), <, end);
		waiting = json_integer_value(
			json_object_get(json_object_get(state, "callers"), "waiting"));
		json_decref(state);
		g_usleep(10000);
	}
}

/*
 * The home of the group gets SIGTERM while a slow statement runs and a transaction is open. Both
 * finish, new writes are done through another proxy, and the home exits with status 0.
 */
static void test_graceful_shutdown(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	char *handle = open_transaction(h, other, "job-8");
	slow_statement_t slow_statement = {.h = h, .proxy = home};
	GThread *thread = g_thread_new("slow", run_slow_statement, &slow_statement);
	json_t *answer;

	wait_for_request(h, home);
	kill(h->proxies[home], SIGTERM);
	g_usleep(300000);
	g_free(write_record(h, other, "job-9", "v1", "a9"));
	answer = harness_call(harness_caller_port(h, other), "/v1/commit",
			      json_pack("{s:s, s:s}", "transaction", handle, "request_id", "t8"),
			      NULL);
	g_assert_true(is_done(answer));
	json_decref(answer);
	assert_read_value(h, other, "job-8", "half", NULL);
	g_thread_join(thread);
	g_assert_true(is_done(slow_statement.answer));
	json_decref(slow_statement.answer);
	g_assert_cmpint(harness_wait_exit(&h->proxies[home], EXIT_TIMEOUT_MS), ==, 0);
	g_free(handle);
	harness_stop(h);
}

/*
 * A proxy is suspended for four seconds while the table is edited. After it has resumed, it must
 * not use the old settings of the row: by its first answer it has the new version of the table.
 */
static void test_proxy_stopped(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	json_t *table;

	kill(h->proxies[2], SIGSTOP);
	g_assert_cmpint(harness_run_ctl(h, 0, NULL, "table", "set", "row/dispatch/status",
					"max_age_ms=600", NULL),
			==, 0);
	g_usleep(4000000);
	kill(h->proxies[2], SIGCONT);
	g_free(write_record(h, 2, "job-1", "v1", "a1"));
	table = harness_call_operator(h, 2, "/v1/table", NULL);
	g_assert_cmpint(json_integer_value(json_object_get(table, "version")), ==, 2);
	json_decref(table);
	harness_stop(h);
}

/*
 * The home of the group is suspended while open transactions hold every slot of the row's limit.
 * The next-ranked proxy takes its place and ends sessions that hold slots, so that a write is done.
 * When the home resumes, its transactions are rolled back and their rows are not there.
 */
static void test_home_stopped(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	char *handles[3];
	json_t *answer;

	for (int i = 0; i < 3; i++) {
		char *key = g_strdup_printf("half-%d", i);

		handles[i] = open_transaction(h, other, key);
		g_free(key);
	}
	kill(h->proxies[home], SIGSTOP);
	g_free(write_record(h, other, "job-1", "v1", "a1"));
	kill(h->proxies[home], SIGCONT);
	g_usleep(500000);
	for (int i = 0; i < 3; i++) {
		answer = harness_call(harness_caller_port(h, other), "/v1/rollback",
				      json_pack("{s:s}", "transaction", handles[i]), NULL);
		json_decref(answer);
		g_free(handles[i]);
	}
	answer = harness_read(h, other, "assignment", "half-0", NULL);
	g_assert_true(is_done(answer));
	g_assert_cmpuint(json_array_size(json_object_get(answer, "rows")), ==, 0);
	json_decref(answer);
	harness_stop(h);
}

#define CROWD_SIZE   12
#define CROWD_ROUNDS 40

typedef struct crowd_caller {
	const harness_t *h;
	int number;
	int home;
	int done_rounds;
	int wrong_values;
} crowd_caller_t;

/* Write and read a key of its own; a read with outcome done must return the value just written. */
static gpointer run_crowd_caller(gpointer data)
{
	crowd_caller_t *self = data;
	char *key = g_strdup_printf("crowd-%d", self->number);

	for (int i = 0; i < CROWD_ROUNDS; i++) {
		int proxy = (self->home + 1 + (self->number + i) % 2) % 3;
		char *value = g_strdup_printf("value-%d-%d", self->number, i);
		json_t *wrote = harness_write(self->h, proxy, key, value, value, NULL);
		json_t *read = harness_read(self->h, proxy, i % 2 ? "status" : "assignment", key,
					    harness_text_field(wrote, "token"));
		char *got = first_value(read);

		if (is_done(wrote) && is_done(read)) {
			self->done_rounds++;
			self->wrong_values += g_strcmp0(got, value) != 0;
		}
		g_free(got);
		g_free(value);
		json_decref(read);
		json_decref(wrote);
	}
	g_free(key);
	return NULL;
}

/*
 * Twelve callers at once write and read records of their own while first the primary and then the
 * home is killed. Answers may be late or missing, but each with outcome done must be the complete
 * answer to its own request.
 */
static void test_own_answers(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	crowd_caller_t crowd[CROWD_SIZE] = {0};
	GThread *threads[CROWD_SIZE];
	int done_rounds = 0;

	for (int i = 0; i < CROWD_SIZE; i++) {
		crowd[i] = (crowd_caller_t){.h = h, .number = i, .home = home};
		threads[i] = g_thread_new("caller", run_crowd_caller, &crowd[i]);
	}
	g_usleep(200000);
	harness_kill(&h->members[0]);
	g_usleep(400000);
	harness_kill(&h->proxies[home]);
	for (int i = 0; i < CROWD_SIZE; i++) {
		g_thread_join(threads[i]);
		g_assert_cmpint(crowd[i].wrong_values, ==, 0);
		done_rounds += crowd[i].done_rounds;
	}
	g_test_message("%d of %d rounds done", done_rounds, CROWD_SIZE * CROWD_ROUNDS);
	g_assert_cmpint(done_rounds, >, CROWD_SIZE * CROWD_ROUNDS / 2);
	harness_stop(h);
}

/* A member whose VM the platform lists as leaving gets no new statements after five seconds. */
static void test_member_leaving(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	json_t *answer;

	g_free(write_record(h, 0, "job-1", "v1", "a1"));
	harness_set_vms(h, 0);
	g_usleep(5000000);
	for (int i = 0; i < 10; i++) {
		answer = harness_read(h, i % 3, i % 2 ? "status" : "assignment", "job-1", NULL);
		g_assert_true(is_done(answer));
		g_assert_cmpstr(harness_text_field(answer, "member"), !=, "m0");
		json_decref(answer);
	}
	harness_stop(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/failures/primary-killed", test_primary_killed);
	g_test_add_func("/failures/primary-stopped", test_primary_stopped);
	g_test_add_func("/failures/primary-cut", test_primary_isolated);
	g_test_add_func("/failures/platform-down", test_platform_down);
	g_test_add_func("/failures/home-killed", test_home_killed);
	g_test_add_func("/failures/tx-home-killed", test_tx_home_killed);
	g_test_add_func("/failures/graceful-shutdown", test_graceful_shutdown);
	g_test_add_func("/failures/proxy-stopped", test_proxy_stopped);
	g_test_add_func("/failures/member-leaving", test_member_leaving);
	g_test_add_func("/failures/home-stopped", test_home_stopped);
	g_test_add_func("/failures/own-answers", test_own_answers);
	return g_test_run();
}
