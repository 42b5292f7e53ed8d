/*
 * Members that answer health checks and fail part of their statements. Each test's comment says
 * which failure it guards against and how that comes about.
 */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "active.h"
#include "member.h"
#include "pool_check.h"
#include "state.h"

#define START (100 * SEC)

/* --- outcomes of statements, without a network --- */

/* Records outcomes 50 ms apart: '+' good, 'r' refused, '-' failed. */
static void record_all(outlier_t *outlier, const char *outcomes, usec_t *now)
{
	static const statement_outcome_t kinds[] = {
		['+'] = STATEMENT_GOOD, ['r'] = STATEMENT_REFUSED, ['-'] = STATEMENT_FAILED};

	for (; *outcomes != '\0'; outcomes++) {
		*now += 50 * MSEC;
		outlier_record(outlier, kinds[(unsigned char)*outcomes], *now);
	}
}

static bool is_worse(const char *own, const char *others)
{
	outlier_t outlier = {0};
	outlier_t other = {0};
	tally_t tally = {0};
	usec_t now = START;

	record_all(&other, others, &now);
	now = START;
	record_all(&outlier, own, &now);
	outlier_count_recent(&other, now, &tally);
	return outlier_is_worse(&outlier, &tally, now);
}

static void test_ejection_threshold(void)
{
	g_assert_true(is_worse("-+-+-+", "++++++++++"));
	g_assert_true(is_worse("r+r+r+", "++++++++++"));
	g_assert_true(is_worse("---", "++++++++"));
	/* Nothing shows that the other members would do better. */
	g_assert_false(is_worse("---", ""));
	/* Two failures may be chance. */
	g_assert_false(is_worse("-+-", "++++++++++"));
	g_assert_false(is_worse("-+++++++-++++++-", "++++++++++"));
	/* The statements fail at every member. */
	g_assert_false(is_worse("-+-+-+", "+-+-+-+-+-"));
}

static void test_outcomes_expire(void)
{
	outlier_t outlier = {0};
	tally_t tally = {0};
	usec_t now = START;

	record_all(&outlier, "-----------", &now);
	g_assert_true(outlier_is_failing(&outlier, now));
	now += 4 * SEC;
	g_assert_false(outlier_is_failing(&outlier, now));
	outlier_count_recent(&outlier, now, &tally);
	g_assert_cmpuint(tally.total, ==, 0);
}

/*
 * Guards against the needless replacement of a primary: a fifth of its replies are lost for 4 s,
 * two of three homes count it as failing, and the leader is frozen in the middle of the change, so
 * nobody is served for 7 s. A quarter of failures does not justify a change either;
 * half does, refused or failed.
 */
static void test_failing_primary_threshold(void)
{
	outlier_t outlier = {0};
	usec_t now = START;

	record_all(&outlier, "-++++-++++-++++-++++--+-++-+++++", &now);
	g_assert_false(outlier_is_failing(&outlier, now));
	record_all(&outlier, "r+++r+++r+++r+++r+++r+++r+++r+++", &now);
	g_assert_false(outlier_is_failing(&outlier, now));
	record_all(&outlier, "r+r+-+-+r-r-r-r-", &now);
	g_assert_true(outlier_is_failing(&outlier, now));
}

static void test_trial_reads(void)
{
	outlier_t outlier = {0};
	usec_t now = START;

	outlier_eject(&outlier, now);
	g_assert_false(outlier_accepts_read(&outlier, 0, now));
	now = outlier.ejected_until;
	g_assert_true(outlier_accepts_read(&outlier, 0, now));
	g_assert_false(outlier_accepts_read(&outlier, 1, now));
	record_all(&outlier, "+-", &now);
	g_assert_true(outlier.ejected);
	g_assert_cmpuint(outlier.ejected_until, ==, now + 2 * SEC);
	now = outlier.ejected_until;
	record_all(&outlier, "+++", &now);
	g_assert_false(outlier.ejected);
	g_assert_true(outlier_accepts_read(&outlier, 5, now));
}

/* --- reads --- */

typedef struct attempts {
	size_t sent;
	size_t done;
} attempts_t;

/*
 * Keeps replicas usable for bounded reads: a proxy has the primary's position from its own
 * statements there.
 */
static void sample_primary_position(pool_world_t *world)
{
	for (size_t i = 0; i < world->node_count; i++) {
		world_caller_t *caller = world_open_session_on(world, i, "strict");

		world_send_and_wait(caller, "READ job-1");
		world_leave(caller);
	}
}

/* Sessions at each proxy; enough that reads go to replicas too. */
#define SESSIONS 4

/*
 * Runs count statements over sessions at all proxies, each session waiting for its reply before it
 * sends the next.
 */
static attempts_t run_statements(pool_world_t *world, const char *database, const char *text,
				 size_t count)
{
	size_t sessions = world->node_count * SESSIONS;
	world_caller_t **callers = talloc_array(world, world_caller_t *, sessions);
	attempts_t attempts = {0};

	for (size_t i = 0; i < sessions; i++)
		callers[i] = world_open_session_on(world, i % world->node_count, database);
	while (attempts.sent < count) {
		sample_primary_position(world);
		for (size_t i = 0; i < sessions && attempts.sent < count; i++, attempts.sent++)
			world_send(callers[i], text);
		world_run(world, SEC / 10);
		for (size_t i = 0; i < sessions; i++) {
			while (caller_is_busy(callers[i]->caller))
				world_run(world, MSEC);
			attempts.done += callers[i]->reply[0] != '\0' &&
					 !g_str_has_prefix(callers[i]->reply, "ERR");
			callers[i]->reply[0] = '\0';
		}
	}
	return attempts;
}

static size_t count_runs_at(const pool_world_t *world, const char *member, usec_t since)
{
	size_t count = 0;

	for (size_t i = 0; i < world->db->run_count; i++)
		count += strcmp(world->db->runs[i].member, member) == 0 &&
			 world->db->runs[i].at >= since;
	return count;
}

static usec_t current_time(const pool_world_t *world)
{
	return clock_now(&world->clock.base);
}

/*
 * Guards against failed reads that other members would serve: a replica answers its health check
 * and fails nearly half of its statements. A failed read is run once more at another member, which
 * is safe since it changes nothing.
 */
static void test_failed_read_retried_elsewhere(void)
{
	pool_world_t *world = world_create(3, NULL);
	attempts_t attempts;

	world_wait_until_ready(world);
	world->db->members[1].fail_percent = 45;
	attempts = run_statements(world, "bounded", "READ job-1", 300);
	g_test_message("%zu of %zu reads done", attempts.done, attempts.sent);
	g_assert_cmpuint(attempts.done, ==, attempts.sent);
	world_destroy(world);
}

/*
 * Guards against reads that take twice as long and transactions that fail: a replica that fails
 * everything is fast, and so looks like the best one. It is ejected from reads, then gets one trial
 * read at a time, so it runs only a few in all, and gets reads again when it has recovered.
 */
static void test_failing_replica_is_ejected(void)
{
	pool_world_t *world = world_create(3, NULL);
	const char *failing = world->db->members[1].id;
	usec_t began;

	world_wait_until_ready(world);
	run_statements(world, "bounded", "READ job-1", 60);
	world->db->members[1].fail_percent = 100;
	began = current_time(world);
	run_statements(world, "bounded", "READ job-1", 600);
	g_test_message("%zu runs at the replica while it failed",
		       count_runs_at(world, failing, began));
	g_assert_cmpuint(count_runs_at(world, failing, began), <, 40);
	world->db->members[1].fail_percent = 0;
	world_run(world, 8 * SEC);
	run_statements(world, "bounded", "READ job-1", 100);
	began = current_time(world);
	run_statements(world, "bounded", "READ job-1", 300);
	g_test_message("%zu runs at the replica after it recovered",
		       count_runs_at(world, failing, began));
	g_assert_cmpuint(count_runs_at(world, failing, began), >, 50);
	world_destroy(world);
}

static size_t count_ejected(const pool_world_t *world)
{
	size_t ejected = 0;

	for (size_t i = 0; i < world->node_count; i++) {
		list_for_each (it, &world->nodes[i].pooler->members)
			ejected += list_entry(it, member_t, node)->outlier.ejected;
	}
	return ejected;
}

/*
 * Guards against one member being overloaded by the reads of three: two members fail part of their
 * statements at a time. At most one of three is ejected; the others carry half as much again, and a
 * failed read is retried.
 */
static void test_at_most_one_of_three_ejected(void)
{
	pool_world_t *world = world_create(1, NULL);
	size_t ejected_max = 0;

	world_wait_until_ready(world);
	world->db->members[1].fail_percent = 50;
	world->db->members[2].fail_percent = 50;
	for (int i = 0; i < 30; i++) {
		run_statements(world, "bounded", "READ job-1", 10);
		ejected_max =
			count_ejected(world) > ejected_max ? count_ejected(world) : ejected_max;
	}
	g_assert_cmpuint(ejected_max, ==, 1);
	world_destroy(world);
}

/* Statements that fail at every member are no evidence against one of them. */
static void test_failing_statements_eject_nobody(void)
{
	pool_world_t *world = world_create(1, NULL);

	world_wait_until_ready(world);
	for (size_t i = 0; i < 3; i++)
		world->db->members[i].fail_percent = 50;
	for (int i = 0; i < 30; i++) {
		run_statements(world, "bounded", "READ job-1", 10);
		run_statements(world, "strict", "READ job-1", 5);
		if (i > 5)
			g_assert_cmpuint(count_ejected(world), ==, 0);
	}
	world_destroy(world);
}

/* --- the primary --- */

/*
 * Guards against writes that fail for as long as a primary is failing, while its health check
 * succeeds. It is replaced when more than half of the proxies that use it report it as failing:
 * what a single one sees may be due to its own link, and the change costs a second.
 */
static void test_failing_primary_is_replaced(void)
{
	pool_world_t *world = world_create(3, NULL);
	attempts_t attempts;

	world_wait_until_ready(world);
	run_statements(world, "strict", "WRITE job-1 a", 30);
	world->db->members[0].fail_percent = 100;
	run_statements(world, "strict", "WRITE job-1 b", 150);
	g_assert_cmpuint(world->promote_count, ==, 1);
	attempts = run_statements(world, "strict", "WRITE job-1 c", 30);
	g_assert_cmpuint(attempts.done, ==, attempts.sent);
	world_destroy(world);
}

/*
 * Guards against a second without writes after every reset of connections: all connections to a
 * healthy primary break at once, with a statement on each. Connections that break together count as
 * one failure, since a failing member keeps failing.
 */
static void test_broken_connections_count_once(void)
{
	static const fake_db_config_t config = {
		.service = WORLD_SERVICE,
		.members = 3,
		.slots = 8,
		.max_connections = 32,
		.service_time = 20 * MSEC,
		.connect_time = 12 * MSEC,
		.promote_delay = 1000 * MSEC,
	};
	pool_world_t *world = world_create(1, &config);
	world_caller_t *callers[8];
	const member_t *primary;

	world_wait_until_ready(world);
	run_statements(world, "strict", "READ job-1", 8);
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		callers[i] = world_open_session_on(world, 0, "strict");
		world_send(callers[i], "READ job-1");
	}
	world->db->members[0].reset_answers = 8;
	world_run(world, 60 * MSEC);
	g_assert_cmpuint(world->db->members[0].reset_answers, ==, 0);
	primary = member_find(world->nodes[0].pooler, "core-0");
	g_assert_false(outlier_is_failing(&primary->outlier, current_time(world)));
	world_run(world, 2 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/*
 * Guards against transactions that are aborted for as long as a primary refuses half of its
 * statements although it has few to run: each statement is retried, but not inside a transaction.
 * The primary is at fault, since proxies send a member no more than keeps its slots busy.
 */
static void test_refusing_primary_is_replaced(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_statements(world, "strict", "WRITE job-1 a", 30);
	world->db->members[0].fail_percent = 50;
	world->db->members[0].fail_code = "BUSY";
	run_statements(world, "strict", "WRITE job-1 b", 200);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/* Alternates reads at all members and writes. */
static void run_mixed_load(pool_world_t *world, size_t rounds)
{
	for (size_t i = 0; i < rounds; i++) {
		run_statements(world, "bounded", "READ job-1", 12);
		run_statements(world, "strict", "WRITE job-1 a", 12);
	}
}

/*
 * A primary that becomes slow is kept, however slow: a change costs its callers as much as it gains
 * them (docs/design/outliers.md).
 */
static void test_slow_primary_stays(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_mixed_load(world, 4);
	world->db->members[0].extra_service_time = 80 * MSEC;
	run_mixed_load(world, 12);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

static void test_slow_members_keep_their_primary(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_mixed_load(world, 4);
	for (size_t i = 0; i < 3; i++)
		world->db->members[i].extra_service_time = 80 * MSEC;
	run_mixed_load(world, 12);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/*
 * A primary that is three times as slow still meets its callers' objective; during a change they
 * would miss it.
 */
static void test_slightly_slow_primary_stays(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_mixed_load(world, 4);
	world->db->members[0].extra_service_time = 8 * MSEC;
	run_mixed_load(world, 12);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/* Two proxies' probes of the primary time out, while it keeps answering others. */
static void mark_primary_down(pool_world_t *world)
{
	for (size_t i = 0; i < 2; i++)
		member_mark_down(member_find(world->nodes[i].pooler, "core-0"), "test");
	for (int i = 0; i < 10; i++) {
		run_statements(world, "strict", "READ job-1", 3);
	}
}

/*
 * Guards against repeated outages of a second without a change: the primary hangs except for an
 * occasional answer to a probe, and each such answer cancels the change. The second time it is
 * replaced, since a healthy member is not found down twice in 5 s.
 */
static void test_repeatedly_down_primary_is_replaced(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_statements(world, "strict", "READ job-1", 12);
	mark_primary_down(world);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_run(world, SEC);
	mark_primary_down(world);
	world_run(world, SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/*
 * A primary that is found down now and then is kept: a link that lost some packets looks the same.
 */
static void test_rarely_down_primary_stays(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	run_statements(world, "strict", "READ job-1", 12);
	for (int i = 0; i < 3; i++) {
		mark_primary_down(world);
		world_run(world, 6 * SEC);
	}
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/* A primary that fails one statement in ten costs callers less than a change does. */
static void test_primary_with_few_failures_stays(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	world->db->members[0].fail_percent = 10;
	run_statements(world, "strict", "WRITE job-1 a", 600);
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/* Makes the proxy count the primary as failing. */
static void mark_primary_failing(pooler_t *pooler, usec_t now)
{
	member_t *primary = member_find(pooler, "core-0");

	active_add_service(primary->service);
	outlier_mark_failing(&primary->outlier, now);
}

/*
 * Guards against a change that is cancelled halfway and begins again a second later: during the
 * change the proxies send the primary no statements, and some that saw it fail no longer count it
 * as failing. One proxy that still does is enough by then, since most saw it when the change began.
 */
static void test_change_is_not_cancelled(void)
{
	pool_world_t *world = world_create(3, NULL);
	usec_t end;

	world_wait_until_ready(world);
	run_statements(world, "strict", "WRITE job-1 a", 12);
	for (size_t i = 0; i < 3; i++)
		mark_primary_failing(world->nodes[i].pooler, current_time(world));
	end = current_time(world) + 2 * SEC;
	while (world_count_permitted(world, "core-0") == 3 && current_time(world) < end)
		world_run(world, MSEC);
	for (size_t i = 0; i < 2; i++)
		member_find(world->nodes[i].pooler, "core-0")->outlier.failing_until = 0;
	world_run(world, 2 * SEC);
	g_assert_cmpuint(world->promote_count, ==, 1);
	world_destroy(world);
}

/*
 * Guards against two changes in a row: two members of a service are failing or slow, and the second
 * of them is promoted. The leader's own view is enough to avoid that, since it only decides between
 * members whose logs are equal.
 */
static void test_failing_member_is_not_promoted(void)
{
	for (size_t failing = 1; failing <= 2; failing++) {
		pool_world_t *world = world_create(3, NULL);
		char id[16];

		world_wait_until_ready(world);
		snprintf(id, sizeof(id), "core-%zu", failing);
		for (size_t i = 0; i < 3; i++) {
			pooler_t *pooler = world->nodes[i].pooler;

			mark_primary_failing(pooler, current_time(world));
			outlier_eject(&member_find(pooler, id)->outlier, current_time(world));
		}
		world_run(world, 3 * SEC);
		g_assert_cmpuint(world->promote_count, ==, 1);
		g_assert_cmpstr(world->promotes[0].member, !=, id);
		world_destroy(world);
	}
}

/* The same with slow members. */
static void test_slow_member_is_not_promoted(void)
{
	for (size_t slow = 1; slow <= 2; slow++) {
		pool_world_t *world = world_create(3, NULL);
		char id[16];

		world_wait_until_ready(world);
		snprintf(id, sizeof(id), "core-%zu", slow);
		for (size_t i = 0; i < 3; i++) {
			pooler_t *pooler = world->nodes[i].pooler;

			mark_primary_failing(pooler, current_time(world));
			member_find(pooler, id)->response_time = 100 * MSEC;
		}
		world_run(world, 3 * SEC);
		g_assert_cmpuint(world->promote_count, ==, 1);
		g_assert_cmpstr(world->promotes[0].member, !=, id);
		world_destroy(world);
	}
}

/* The report of one proxy is not enough: its own path to the primary may be at fault. */
static void test_one_report_is_not_enough(void)
{
	pool_world_t *world = world_create(3, NULL);

	world_wait_until_ready(world);
	for (int i = 0; i < 40; i++) {
		member_t *primary = member_find(world->nodes[0].pooler, "core-0");

		for (int j = 0; j < 4; j++)
			outlier_record(&primary->outlier, STATEMENT_FAILED, current_time(world));
		run_statements(world, "strict", "WRITE job-1 a", 6);
	}
	g_assert_cmpuint(world->promote_count, ==, 0);
	world_destroy(world);
}

/*
 * Guards against a second without writes again and again: an application's writes fail wherever
 * they run. Only one such change is made in 30 s, since the first one has shown that the member is
 * not at fault.
 */
static void test_failing_writes_cause_one_change(void)
{
	pool_world_t *world = world_create(3, NULL);
	usec_t end;

	world_wait_until_ready(world);
	for (size_t i = 0; i < 3; i++)
		world->db->members[i].fail_percent = 60;
	end = current_time(world) + 25 * SEC;
	while (current_time(world) < end)
		run_statements(world, "strict", "WRITE job-1 a", 30);
	g_assert_cmpuint(world->promote_count, <=, 1);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outlier/evidence", test_ejection_threshold);
	g_test_add_func("/outlier/evidence-ages", test_outcomes_expire);
	g_test_add_func("/outlier/share-of-a-failing-primary", test_failing_primary_threshold);
	g_test_add_func("/outlier/way-back", test_trial_reads);
	g_test_add_func("/outlier/failed-read-runs-elsewhere", test_failed_read_retried_elsewhere);
	g_test_add_func("/outlier/bad-replica-is-left-alone", test_failing_replica_is_ejected);
	g_test_add_func("/outlier/most-members-stay", test_at_most_one_of_three_ejected);
	g_test_add_func("/outlier/failing-statements", test_failing_statements_eject_nobody);
	g_test_add_func("/outlier/failing-primary-is-replaced", test_failing_primary_is_replaced);
	g_test_add_func("/outlier/refusing-primary-is-replaced", test_refusing_primary_is_replaced);
	g_test_add_func("/outlier/slow-primary-stays", test_slow_primary_stays);
	g_test_add_func("/outlier/slow-members-keep-their-primary",
			test_slow_members_keep_their_primary);
	g_test_add_func("/outlier/slowish-primary-stays", test_slightly_slow_primary_stays);
	g_test_add_func("/outlier/down-again-is-replaced",
			test_repeatedly_down_primary_is_replaced);
	g_test_add_func("/outlier/down-once-in-a-while-stays", test_rarely_down_primary_stays);
	g_test_add_func("/outlier/broken-connections-count-once",
			test_broken_connections_count_once);
	g_test_add_func("/outlier/primary-that-fails-a-few-stays",
			test_primary_with_few_failures_stays);
	g_test_add_func("/outlier/change-goes-on", test_change_is_not_cancelled);
	g_test_add_func("/outlier/ill-member-is-not-promoted", test_failing_member_is_not_promoted);
	g_test_add_func("/outlier/slow-member-is-not-promoted", test_slow_member_is_not_promoted);
	g_test_add_func("/outlier/one-witness-is-not-enough", test_one_report_is_not_enough);
	g_test_add_func("/outlier/failing-writes-change-once",
			test_failing_writes_cause_one_change);
	return g_test_run();
}
