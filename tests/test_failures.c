/*
 * Failures of real processes: kill, stop, cut, platform outage, shutdown. The
 * same cases as the golden sessions, to show that the links do their part.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

#define FOREVER_MS 20000

static gboolean is_done(const json_t *answer)
{
	return strcmp(harness_text_field(answer, "outcome"), "done") == 0;
}

static char *value_of(const json_t *answer)
{
	return g_strdup(json_string_value(
		json_array_get(json_array_get(json_object_get(answer, "rows"), 0), 0)));
}

static void assert_reads(const harness_t *h, int proxy, const char *key, const char *value,
			 const char *token)
{
	json_t *answer = harness_read(h, proxy, "assignment", key, token);
	char *got = value_of(answer);

	g_assert_true(is_done(answer));
	g_assert_cmpstr(got, ==, value);
	g_free(got);
	json_decref(answer);
}

static char *write_done(const harness_t *h, int proxy, const char *key, const char *value,
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
 * The primary's process is killed. The write that follows waits for the
 * takeover and is done on another member; the session reads it through any
 * proxy. The killed member's connections are reset, which is the evidence.
 */
static void test_primary_killed(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	char *token;

	g_free(write_done(h, 0, "job-1", "v1", "a1"));
	harness_kill(&h->members[0]);
	token = write_done(h, 1, "job-1", "v2", "a2");
	assert_reads(h, 2, "job-1", "v2", token);
	g_assert_cmpint(harness_find_primary(h), !=, 0);
	g_free(token);
	harness_stop(h);
}

/*
 * The primary is stopped, replaced, and goes on unaware. Nothing it then thinks
 * is acknowledged: a strict read through any proxy sees the new history, and the
 * old primary has become a replica of the new one.
 */
static void test_primary_stopped(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	char *token;
	char *value = NULL;

	g_free(write_done(h, 0, "job-1", "v1", "a1"));
	kill(h->members[0], SIGSTOP);
	token = write_done(h, 1, "job-1", "v2", "a2");
	kill(h->members[0], SIGCONT);
	for (int proxy = 0; proxy < 3; proxy++)
		assert_reads(h, proxy, "job-1", "v2", NULL);
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
 * The primary loses its peers but not the proxies. It commits the write, which
 * no replica gets; the caller hears nothing until another member has it. The
 * counter is raised once in the history that survives.
 */
static void test_primary_cut(void)
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
	assert_reads(h, 2, "fee", "1", NULL);
	harness_stop(h);
}

/*
 * The platform is down, a proxy is replaced by a fresh one meanwhile, then the
 * primary dies. The fresh proxy gets the table from its peers; callers see a
 * short gap and nothing else; operators are told that an edit's fate is unknown.
 */
static void test_platform_down(void)
{
	harness_t *h = harness_start_fleet(3, 5);

	json_decref(harness_call(h->ports.first, "/control", json_pack("{s:b}", "down", 1), NULL));
	g_usleep(4000000);
	g_free(write_done(h, 0, "job-1", "v1", "a1"));
	harness_kill(&h->proxies[2]);
	harness_start_proxy(h, 2, NULL);
	g_usleep(2000000);
	g_free(write_done(h, 2, "job-2", "v1", "b1"));
	harness_kill(&h->members[0]);
	g_free(write_done(h, 1, "job-1", "v2", "a2"));
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
 * The proxy that serves the group is killed right after a filing was sent to it
 * through another. The filing has a request id, so it is repeated at the next
 * rank; the fee is charged once, whichever of the two got through.
 */
static void test_home_killed(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	json_t *answer;
	json_t *body;

	g_free(write_done(h, other, "job-1", "v1", "a1"));
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
	assert_reads(h, other, "fee", "1", NULL);
	harness_stop(h);
}

/* Begin through one proxy, statement through another; the transaction's handle, or NULL. */
static char *open_transaction(const harness_t *h, int proxy, const char *key)
{
	json_t *begun = harness_call(
		harness_caller_port(h, proxy), "/v1/begin",
		json_pack("{s:s, s:s}", "service", "dispatch", "class", "assign"), NULL);
	char *handle = g_strdup(harness_text_field(begun, "transaction"));
	json_t *put =
		harness_call(harness_caller_port(h, (proxy + 1) % 3), "/v1/transaction/statement",
			     json_pack("{s:s, s:s, s:[s, s]}", "transaction", handle, "statement",
				       "INSERT INTO records (key, value) VALUES ($1, $2)", "params",
				       key, "half"),
			     NULL);

	g_assert_true(is_done(begun));
	g_assert_true(is_done(put));
	json_decref(begun);
	json_decref(put);
	return handle;
}

/*
 * The proxy that holds an open transaction is killed. Its connection drops and
 * the server rolls back; a commit through another proxy is told so, and nothing
 * half done is left.
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

typedef struct slow_call {
	const harness_t *h;
	int proxy;
	json_t *answer;
} slow_call_t;

static gpointer ask_slowly(gpointer data)
{
	slow_call_t *call = data;

	call->answer = harness_call(harness_caller_port(call->h, call->proxy), "/v1/statement",
				    json_pack("{s:s, s:s, s:s, s:[s]}", "service", "dispatch",
					      "class", "assign", "statement", "SELECT pg_sleep($1)",
					      "params", "1.2"),
				    NULL);
	return NULL;
}

/* Until the proxy has read a caller's request and not answered it yet. */
static void wait_for_request(const harness_t *h, int proxy)
{
	gint64 end = g_get_monotonic_time() + FOREVER_MS * 1000;
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
 * The serving proxy is told to stop while a slow statement runs and a
 * transaction is open. Both finish; new requests through it are refused at
 * once; it exits with 0 when nothing is left.
 */
static void test_graceful_shutdown(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	int other = (home + 1) % 3;
	char *handle = open_transaction(h, other, "job-8");
	slow_call_t slow = {.h = h, .proxy = home};
	GThread *thread = g_thread_new("slow", ask_slowly, &slow);
	json_t *answer;

	wait_for_request(h, home);
	kill(h->proxies[home], SIGTERM);
	g_usleep(300000);
	g_free(write_done(h, other, "job-9", "v1", "a9"));
	answer = harness_call(harness_caller_port(h, other), "/v1/commit",
			      json_pack("{s:s, s:s}", "transaction", handle, "request_id", "t8"),
			      NULL);
	g_assert_true(is_done(answer));
	json_decref(answer);
	assert_reads(h, other, "job-8", "half", NULL);
	g_thread_join(thread);
	g_assert_true(is_done(slow.answer));
	json_decref(slow.answer);
	g_assert_cmpint(harness_wait_exit(&h->proxies[home], FOREVER_MS), ==, 0);
	g_free(handle);
	harness_stop(h);
}

/*
 * A proxy is stopped for four seconds while the table is edited, and wakes up.
 * It never shows the old row's answer as if it were current: by the time it
 * serves, it has the new version.
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
	g_free(write_done(h, 2, "job-1", "v1", "a1"));
	table = harness_call_operator(h, 2, "/v1/table", NULL);
	g_assert_cmpint(json_integer_value(json_object_get(table, "version")), ==, 2);
	json_decref(table);
	harness_stop(h);
}

/*
 * The serving proxy is stopped while open transactions hold every slot of the
 * row's limit. The next rank acts in its place and ends sessions that hold
 * slots, so a write goes through. When the stopped proxy goes on, its
 * transactions are gone, and nothing half done is left.
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
	g_free(write_done(h, other, "job-1", "v1", "a1"));
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

#define CROWD	     12
#define CROWD_ROUNDS 40

typedef struct crowd_member {
	const harness_t *h;
	int number;
	int home;
	int done;
	int wrong;
} crowd_member_t;

/* Writes and reads its own key; whatever comes back "done" must be its own. */
static gpointer crowd_run(gpointer data)
{
	crowd_member_t *me = data;
	char *key = g_strdup_printf("crowd-%d", me->number);

	for (int i = 0; i < CROWD_ROUNDS; i++) {
		int proxy = (me->home + 1 + (me->number + i) % 2) % 3;
		char *value = g_strdup_printf("value-%d-%d", me->number, i);
		json_t *wrote = harness_write(me->h, proxy, key, value, value, NULL);
		json_t *read = harness_read(me->h, proxy, i % 2 ? "status" : "assignment", key,
					    harness_text_field(wrote, "token"));
		char *got = value_of(read);

		if (is_done(wrote) && is_done(read)) {
			me->done++;
			me->wrong += g_strcmp0(got, value) != 0;
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
 * Twelve callers at once write and read back their own records while the primary
 * is killed and then the serving proxy. Answers may come late or not at all, but
 * each that says "done" is the complete answer to its own request.
 */
static void test_own_answers(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	int home = harness_find_home(h, 0);
	crowd_member_t crowd[CROWD] = {0};
	GThread *threads[CROWD];
	int done = 0;

	for (int i = 0; i < CROWD; i++) {
		crowd[i] = (crowd_member_t){.h = h, .number = i, .home = home};
		threads[i] = g_thread_new("caller", crowd_run, &crowd[i]);
	}
	g_usleep(200000);
	harness_kill(&h->members[0]);
	g_usleep(400000);
	harness_kill(&h->proxies[home]);
	for (int i = 0; i < CROWD; i++) {
		g_thread_join(threads[i]);
		g_assert_cmpint(crowd[i].wrong, ==, 0);
		done += crowd[i].done;
	}
	g_test_message("%d of %d rounds done", done, CROWD * CROWD_ROUNDS);
	g_assert_cmpint(done, >, CROWD * CROWD_ROUNDS / 2);
	harness_stop(h);
}

/* A member whose VM the platform lists as leaving gets no new work after a few seconds. */
static void test_member_leaving(void)
{
	harness_t *h = harness_start_fleet(3, 5);
	json_t *answer;

	g_free(write_done(h, 0, "job-1", "v1", "a1"));
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
	g_test_add_func("/failures/primary-cut", test_primary_cut);
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
