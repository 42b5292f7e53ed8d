/*
 * Poolers with a manual clock: sessions, freshness of reads, and the outcomes that callers see
 * after faults.
 */
#include <string.h>

#include <glib.h>

#include "pool_check.h"
#include "state.h"

/* --- without faults --- */

static void test_write_and_read(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 1);
	assert_has_prefix(world_send_and_wait(caller, "WRITE truck-1 busy"), "DONE core-0");
	g_assert_true(world_reply_has_state(caller, "READY I 1.1"));
	assert_has_prefix(world_send_and_wait(caller, "READ truck-1"), "ROW busy\r\nDONE core-");
	world_destroy(world);
}

static void test_transaction(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	world_caller_t *other;
	char first[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	other = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -\r\nREADY T -");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 open"),
			  "DONE core-0\r\nREADY T");
	snprintf(first, sizeof(first), "%s", caller->id);
	assert_has_prefix(world_send_and_wait(other, "READ job-1"), "ROW none");
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"),
			  "ROW open\r\nDONE core-0\r\nREADY T");
	g_assert_cmpuint(find_last_run(world, first)->tx_number, ==,
			 find_last_run(world, caller->id)->tx_number);
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "DONE core-0\r\nREADY I 1.1");
	assert_has_prefix(world_send_and_wait(other, "BEGIN"), "DONE -");
	assert_has_prefix(world_send_and_wait(other, "READ job-1"), "ROW open");
	assert_has_prefix(world_send_and_wait(other, "ROLLBACK"), "DONE -\r\nREADY I");
	world_destroy(world);
}

/* The answer to a COMMIT must name a member even if the transaction ran no statement. */
static void test_empty_transaction(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "BEGIN");
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "DONE core-0\r\nREADY I");
	world_destroy(world);
}

/*
 * Two callers share a connection to a member. The names of their session values and of their
 * prepared statements collide, and each statement must run with those of its own caller.
 */
static void test_values_and_prepared_names_of_two_callers(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *a;
	world_caller_t *b;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	a = world_open_session(world, 0);
	b = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(a, "SET lang cy"), "DONE -");
	assert_has_prefix(world_send_and_wait(a, "SET tz utc"), "DONE -");
	assert_has_prefix(world_send_and_wait(b, "SET lang fr"), "DONE -");
	assert_has_prefix(world_send_and_wait(a, "PREPARE s1 WRITE q1"), "DONE -");
	assert_has_prefix(world_send_and_wait(b, "PREPARE s1 READ q2"), "DONE -");
	assert_has_prefix(world_send_and_wait(a, "EXEC s1 case-1 filed"), "DONE core-0");
	g_assert_cmpstr(find_last_run(world, a->id)->values, ==, "lang cy;tz utc;");
	assert_has_prefix(world_send_and_wait(b, "EXEC s1 case-1"), "ROW filed");
	g_assert_cmpstr(find_last_run(world, b->id)->values, ==, "lang fr;");
	assert_has_prefix(world_send_and_wait(a, "FORGET s1"), "DONE -");
	assert_has_prefix(world_send_and_wait(a, "EXEC s1 case-1 again"), "ERR NOSTMT");
	world_destroy(world);
}

/*
 * A PREPARE that the connection still lacks is sent together with its EXEC and costs no extra round
 * trip. That is safe: if the PREPARE fails, the EXEC fails without having run.
 */
static void test_prepare_and_exec_in_one_round_trip(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	usec_t before;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "READ a"), "ROW none");
	world_send_and_wait(caller, "PREPARE s1 WRITE q1");
	before = clock_now(&world->clock.base);
	assert_has_prefix(world_send_and_wait(caller, "EXEC s1 case-1 filed"), "DONE core-0");
	/* A round trip of 2 ms, 4 ms of work, and one step of the simulation. */
	g_assert_cmpuint(clock_now(&world->clock.base) - before, <=, 7 * MSEC);
	world_destroy(world);
}

/* Session values beyond the limit are refused, and the session goes on. */
static void test_too_many_values(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	bool refused = false;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	for (int i = 0; i < 100; i++) {
		char text[32];

		snprintf(text, sizeof(text), "SET n%d x", i);
		refused = !g_str_has_prefix(world_send_and_wait(caller, text), "DONE") || refused;
	}
	g_assert_true(refused);
	assert_has_prefix(world_send_and_wait(caller, "READ a"), "ROW none");
	world_destroy(world);
}

/*
 * Guards against a use after free: if the member refuses the session values, the connection is
 * closed and freed, and the member's code must be copied before that.
 */
static void test_member_refuses_values(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	for (int i = 0; i < 6; i++) {
		char text[240];

		snprintf(text, sizeof(text), "SET n%d %0200d", i, i);
		assert_has_prefix(world_send_and_wait(caller, text), "DONE");
	}
	assert_has_prefix(world_send_and_wait(caller, "READ a"), "ERR BUSY");
	world_destroy(world);
}

/*
 * Guards against a transaction that a member keeps open for as long as its session lasts: one of
 * its statements failed, and the client pauses without a ROLLBACK. It may be idle as long as any
 * other.
 */
static void test_failed_transaction_is_idle(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world->db->members[0].fail_percent = 100;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-2 a"), "ERR FAILED");
	world->db->members[0].fail_percent = 0;
	world_run(world, 2 * SEC);
	g_assert_true(world_has_transaction(world));
	world_run(world, 2 * SEC);
	g_assert_false(world_has_transaction(world));
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-3 a"), "ERR ABORTED");
	assert_has_prefix(world_send_and_wait(caller, "ROLLBACK"), "DONE");
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW none");
	world_destroy(world);
}

/*
 * A caller disconnects inside its transaction. The next caller on the connection must not run
 * inside that transaction, and nothing of it may be kept.
 */
static void test_caller_leaves_in_transaction(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "BEGIN");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 open"), "DONE core-0");
	world_leave(caller);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"),
			  "ROW none\r\nDONE core-0\r\nREADY I");
	g_assert_cmpuint(find_last_run(world, caller->id)->tx_number, ==, 0);
	world_destroy(world);
}

static void test_unknown_database(void)
{
	pool_world_t *world = world_create(1, NULL);
	code_t code = CODE_NONE;

	world_wait_until_ready(world);
	g_assert_null(pooler_caller_open(world->nodes[0].pooler, "nowhere", slice_of("", 0), NULL,
					 &code));
	g_assert_cmpint(code, ==, CODE_NO_DATABASE);
	world_destroy(world);
}

/* --- freshness --- */

/*
 * A caller reads what it has just written. The replicas apply the write 60 ms later and would
 * return the old value, so the read must go to a member that has the commit.
 */
static void test_session_reads_its_write(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;

	world->reads = READS_SESSION;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	for (int i = 0; i < 20; i++) {
		char text[40];
		char row[40];

		snprintf(text, sizeof(text), "WRITE job-7 v%d", i);
		snprintf(row, sizeof(row), "ROW v%d\r\n", i);
		assert_has_prefix(world_send_and_wait(caller, text), "DONE core-0");
		assert_has_prefix(world_send_and_wait(caller, "READ job-7"), row);
	}
	world_destroy(world);
}

/*
 * The replicas stop receiving the log. Reads that may be 1.5 s old use them while their log is
 * recent enough, and must never return older data.
 */
static void test_bounded_reads_from_stalled_replicas(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *writer;
	world_caller_t *reader;

	world->reads = READS_BOUNDED;
	world_wait_until_ready(world);
	writer = world_open_session(world, 0);
	reader = world_open_session(world, 1);
	assert_has_prefix(world_send_and_wait(writer, "WRITE job-1 old"), "DONE");
	world_run(world, SEC);
	world->db->members[1].isolated = true;
	world->db->members[2].isolated = true;
	assert_has_prefix(world_send_and_wait(writer, "WRITE job-1 new"), "DONE");
	for (int i = 0; i < 30; i++) {
		usec_t before = clock_now(&world->clock.base);
		const char *row = world_send_and_wait(reader, "READ job-1");

		if (i * 100 * MSEC > world->max_age)
			assert_has_prefix(row, "ROW new");
		else
			assert_has_prefix(row, "ROW ");
		world_send_and_wait(writer,
				    "WRITE job-2 x"); /* its reply brings the primary's position */
		world_run(world, before + 100 * MSEC - clock_now(&world->clock.base));
	}
	world_destroy(world);
}

/* --- outcomes --- */

/*
 * The member's reply to a lone write is lost. The write may have run, so it must not be retried:
 * the caller gets "in doubt" when the statement times out.
 */
static void test_lost_answer_of_a_write(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE");
	world->db->members[0].lose_answers = 1;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "ERR INDOUBT");
	world_run(world, 2 * SEC);
	g_assert_cmpuint(fake_member_count_commits(&world->db->members[0], caller->id), ==, 1);
	g_assert_cmpuint(count_runs(world, caller->id), ==, 1);
	world_destroy(world);
}

/* A read whose reply is lost is retried, since it may run twice, and the caller gets its row. */
static void test_lost_answer_of_a_read(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world->reads = READS_PRIMARY;
	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE");
	world->db->members[0].lose_answers = 1;
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	g_assert_cmpuint(count_runs(world, caller->id), ==, 2);
	world_destroy(world);
}

/*
 * The primary crashes between two statements of a transaction, which rolls the transaction back.
 * The next statement must get a code that promises that nothing was kept, and that must be true.
 */
static void test_primary_crashes_in_transaction(void)
{
	pool_world_t *world = world_create(3, NULL);
	world_caller_t *caller;
	char write[40];

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "BEGIN");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 open"), "DONE");
	snprintf(write, sizeof(write), "%s", caller->id);
	world_crash_member(world, 0);
	world_run(world, 20 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ERR ABORTED");
	assert_has_prefix(world_send_and_wait(caller, "ROLLBACK"), "DONE -\r\nREADY I");
	world_run(world, 5 * SEC);
	g_assert_cmpuint(fake_member_count_commits(fake_db_primary(world->db), write), ==, 0);
	world_destroy(world);
}

/*
 * The member runs a statement and the connection breaks before the reply. Only a lone read may be
 * sent again. A write may be committed, so it ends in doubt, and a transaction is aborted.
 */
static void test_connection_breaks_before_the_answer(void)
{
	pool_world_t *world = world_create(1, NULL);
	fake_member_t *member;
	world_caller_t *caller;

	world_wait_until_ready(world);
	member = &world->db->members[0];
	caller = world_open_session_on(world, 0, "strict");
	member->reset_answers = 1;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "ERR INDOUBT");
	world_run(world, SEC);
	g_assert_cmpuint(count_runs(world, caller->id), ==, 1);
	member->reset_answers = 1;
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW b");
	g_assert_cmpuint(count_runs(world, caller->id), ==, 2);
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	member->reset_answers = 1;
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ERR ABORTED");
	world_destroy(world);
}

/*
 * Guards against a committed write of a transaction that was rolled back. If the member refuses
 * BEGIN, a write sent together with it would run and commit on its own, so the write must wait for
 * the reply to BEGIN.
 */
static void test_begin_is_refused(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session_on(world, 0, "strict");
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW");
	assert_has_prefix(world_send_and_wait(caller, "BEGIN"), "DONE -");
	world->db->members[0].refuse_begins = 2;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	assert_has_prefix(world_send_and_wait(caller, "ROLLBACK"), "DONE");
	world_run(world, SEC);
	g_assert_null(fake_member_last_value(&world->db->members[0], "job-1"));
	world_destroy(world);
}

/* Has the proxy use the primary, whose entries the test passes to the proxy from now on. */
static member_t *use_listed_primary(pool_world_t *world, world_caller_t **caller)
{
	world_wait_until_ready(world);
	*caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(*caller, "WRITE job-1 a"), "DONE core-0");
	world->directory_is_frozen = true;
	return member_find(world->nodes[0].pooler, "core-0");
}

/* Passes the proxy an entry of the primary. */
static void list_primary(member_t *member, int64_t started, int64_t revision, bool leaving)
{
	member_entry_t entry = {
		.id = "core-0",
		.service = WORLD_SERVICE,
		.address = member->address,
		.zone = member->zone,
		.slots = member->slots,
		.primary = true,
		.started = started,
		.revision = revision,
		.leaving = leaving,
	};

	pooler_on_member(member->pooler, &entry);
}

/*
 * A member restarts under the same id. Its connections, prepared names and log positions belong to
 * the earlier process; if they were kept, statements would fail or return old rows.
 */
static void test_member_restarts(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	member_t *member = use_listed_primary(world, &caller);

	list_primary(member, 1000, 1, false);
	g_assert_cmpuint(member->conn_count, !=, 0);
	g_assert_cmpuint(member->applied.lsn, !=, 0);
	list_primary(member, 2000, 2, false);
	g_assert_cmpuint(member->conn_count, ==, 0);
	g_assert_cmpuint(member->applied.lsn, ==, 0);
	/* A late entry of the earlier process must be ignored. */
	list_primary(member, 1000, 1, true);
	g_assert_false(member->leaving);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against a member that is draining and still gets statements: the clock of its VM has
 * stepped back before its last start, so that its start time is lower than the one before.
 */
static void test_member_restarts_with_earlier_time(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	member_t *member = use_listed_primary(world, &caller);

	list_primary(member, 2000, 10, false);
	g_assert_cmpuint(member->conn_count, !=, 0);
	list_primary(member, 1500, 11, true);
	g_assert_true(member->leaving);
	/* Another process runs under the id now. */
	g_assert_cmpuint(member->conn_count, ==, 0);
	g_assert_cmpuint(member->applied.lsn, ==, 0);
	/* A late entry of the process before says nothing, whatever its start time. */
	list_primary(member, 2000, 10, false);
	g_assert_true(member->leaving);
	/* An entry without a start time is no sign of another process. */
	list_primary(member, 0, 12, false);
	g_assert_false(member->leaving);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	list_primary(member, 1500, 13, false);
	g_assert_cmpuint(member->conn_count, !=, 0);
	world_destroy(world);
}

#define READERS 40

/* Guards against a proxy that opens and closes connections to a restarted member without an end. */
static void test_member_restarts_under_load(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *readers[READERS];
	world_caller_t *caller;
	member_t *member = use_listed_primary(world, &caller);
	size_t opened;
	size_t served = 0;

	list_primary(member, 1000, 1, false);
	for (size_t i = 0; i < 3; i++)
		world->db->members[i].extra_service_time = 100 * MSEC;
	for (size_t i = 0; i < READERS; i++) {
		readers[i] = world_open_session_on(world, 0, "strict");
		world_send(readers[i], "READ job-1");
	}
	world_run(world, 20 * MSEC);
	g_assert_cmpuint(list_length(&member->service->waiting), !=, 0);
	opened = member->last_conn_number;
	list_primary(member, 2000, 2, false);
	g_assert_cmpuint(member->last_conn_number - opened, <=, world->db->config.max_connections);
	for (size_t i = 0; i < 3; i++)
		world->db->members[i].extra_service_time = 0;
	world_run(world, SEC);
	for (size_t i = 0; i < READERS; i++)
		served += g_str_has_prefix(readers[i]->reply, "ROW a");
	g_assert_cmpuint(served, >, READERS / 2);
	world_destroy(world);
}

/* Passes the proxy an entry of any member, at the address and in the zone of none. */
static void list_at_service(pool_world_t *world, const char *id, const char *service,
			    int64_t revision)
{
	member_entry_t entry = {
		.id = id,
		.service = service,
		.address = "10.0.9.9:1",
		.zone = service,
		.slots = 2,
		.revision = revision,
	};

	pooler_on_member(world->nodes[0].pooler, &entry);
}

static bool service_has(pool_world_t *world, const char *service, const member_t *member)
{
	list_for_each (it, &service_get(world->nodes[0].pooler, service)->members) {
		if (list_entry(it, member_t, in_service) == member)
			return true;
	}
	return false;
}

/*
 * Guards against a member that is out of use for as long as the proxy runs: the first entry under
 * its id named another service, and was replaced.
 */
static void test_service_of_entry_is_corrected(void)
{
	pool_world_t *world = world_create(1, NULL);
	const member_t *member;

	world_wait_until_ready(world);
	world->directory_is_frozen = true;
	list_at_service(world, "i-9", "nowhere", 10);
	member = member_find(world->nodes[0].pooler, "i-9");
	g_assert_true(service_has(world, "nowhere", member));
	list_at_service(world, "i-9", WORLD_SERVICE, 11);
	member = member_find(world->nodes[0].pooler, "i-9");
	g_assert_true(service_has(world, WORLD_SERVICE, member));
	g_assert_false(service_has(world, "nowhere", member));
	g_assert_cmpstr(member->zone, ==, WORLD_SERVICE);
	/* An older entry changes nothing. */
	list_at_service(world, "i-9", "nowhere", 10);
	g_assert_true(member == member_find(world->nodes[0].pooler, "i-9"));
	g_assert_true(service_has(world, WORLD_SERVICE, member));
	world_destroy(world);
}

/* The same for a primary with connections: the service goes on once its entry is right again. */
static void test_service_of_used_member_changes(void)
{
	pool_world_t *world = world_create(1, NULL);
	world_caller_t *caller;
	member_t *member = use_listed_primary(world, &caller);

	list_primary(member, 0, 10, false);
	g_assert_cmpuint(member->conn_count, !=, 0);
	list_at_service(world, "core-0", "nowhere", 11);
	member = member_find(world->nodes[0].pooler, "core-0");
	g_assert_false(service_has(world, WORLD_SERVICE, member));
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "ERR BUSY");
	list_at_service(world, "core-0", WORLD_SERVICE, 12);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 c"), "DONE core-0");
	world_destroy(world);
}

/*
 * Guards against proxies that disagree on the list of members for good: some had seen a valid entry
 * before the invalid one, others had not. A member that lives soon writes a valid entry again.
 */
static void test_entry_becomes_invalid(void)
{
	pool_world_t *world = world_create(1, NULL);
	pooler_t *pooler = world->nodes[0].pooler;
	uint64_t without;

	world_wait_until_ready(world);
	world->directory_is_frozen = true;
	without = pooler->members_digest;
	pooler_on_member_invalid(pooler, "i-9");
	list_at_service(world, "i-9", WORLD_SERVICE, 10);
	g_assert_cmpuint(pooler->members_digest, !=, without);
	pooler_on_member_invalid(pooler, "i-9");
	world_run(world, 2 * SEC);
	g_assert_false(member_find(pooler, "i-9")->unlisted);
	list_at_service(world, "i-9", WORLD_SERVICE, 12);
	world_run(world, 10 * SEC);
	g_assert_false(member_find(pooler, "i-9")->unlisted);
	pooler_on_member_invalid(pooler, "i-9");
	/* Further ones don't prolong the time. */
	world_run(world, 2 * SEC);
	pooler_on_member_invalid(pooler, "i-9");
	world_run(world, SEC);
	g_assert_true(member_find(pooler, "i-9")->unlisted);
	g_assert_cmpuint(pooler->members_digest, ==, without);
	list_at_service(world, "i-9", WORLD_SERVICE, 15);
	g_assert_false(member_find(pooler, "i-9")->unlisted);
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/calm/write-and-read", test_write_and_read);
	g_test_add_func("/calm/transaction", test_transaction);
	g_test_add_func("/calm/empty-transaction", test_empty_transaction);
	g_test_add_func("/calm/values-and-names", test_values_and_prepared_names_of_two_callers);
	g_test_add_func("/calm/one-flight", test_prepare_and_exec_in_one_round_trip);
	g_test_add_func("/calm/too-many-values", test_too_many_values);
	g_test_add_func("/calm/member-refuses-values", test_member_refuses_values);
	g_test_add_func("/calm/failed-transaction-idle", test_failed_transaction_is_idle);
	g_test_add_func("/calm/caller-leaves", test_caller_leaves_in_transaction);
	g_test_add_func("/calm/unknown-database", test_unknown_database);
	g_test_add_func("/fresh/session", test_session_reads_its_write);
	g_test_add_func("/fresh/bounded", test_bounded_reads_from_stalled_replicas);
	g_test_add_func("/outcome/broken-connection", test_connection_breaks_before_the_answer);
	g_test_add_func("/outcome/begin-refused", test_begin_is_refused);
	g_test_add_func("/outcome/lost-write", test_lost_answer_of_a_write);
	g_test_add_func("/outcome/lost-read", test_lost_answer_of_a_read);
	g_test_add_func("/outcome/crash-in-transaction", test_primary_crashes_in_transaction);
	g_test_add_func("/member/starts-again", test_member_restarts);
	g_test_add_func("/member/starts-again-earlier", test_member_restarts_with_earlier_time);
	g_test_add_func("/member/restarts-under-load", test_member_restarts_under_load);
	g_test_add_func("/member/service-corrected", test_service_of_entry_is_corrected);
	g_test_add_func("/member/service-changes", test_service_of_used_member_changes);
	g_test_add_func("/member/entry-invalid", test_entry_becomes_invalid);
	return g_test_run();
}
