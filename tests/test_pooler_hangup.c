/* Poolers with a manual clock: how sessions are closed while a proxy shuts down. */
#include <glib.h>

#include "pool_check.h"
#include "state.h"

/*
 * Guards against a request that gets neither an answer nor a refusal: the proxy shuts down, its
 * event loop is late, and it closes a session that looks idle but has an unread request. The proxy
 * checks for input before the close; it can't prevent that a later request crosses the close.
 */
static void test_unread_request_is_answered(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_run(world, SEC);
	caller->has_unread_input = true;
	pooler_drain(world->nodes[0].pooler);
	world_run(world, 400 * MSEC);
	g_assert_nonnull(caller->caller);
	caller->has_unread_input = false;
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 b"), "DONE core-0");
	world_run(world, 200 * MSEC);
	g_assert_null(caller->caller);
	world_destroy(world);
}

/*
 * The same inside a transaction: half of the grace time is over, so idle transactions are closed,
 * and the next statement lies unread as the event loop is late. The statement must be answered
 * first; each later tick tries again to close the session.
 */
static void test_unread_request_in_expired_tx(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "BEGIN");
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	pooler_drain(world->nodes[0].pooler);
	caller->has_unread_input = true;
	world_run(world, 3500 * MSEC);
	g_assert_nonnull(caller->caller);
	caller->has_unread_input = false;
	/* The transaction was idle for longer than its time-out. */
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ERR ABORTED");
	world_run(world, 200 * MSEC);
	g_assert_null(caller->caller);
	world_destroy(world);
}

/*
 * The same with a transaction that has not reached its idle time-out: its statement is served, and
 * so is its commit if that lies unread by then.
 */
static void test_unread_request_in_tx_is_served(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	world_send_and_wait(caller, "BEGIN");
	pooler_drain(world->nodes[0].pooler);
	world_run(world, 2500 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	caller->has_unread_input = true;
	world_run(world, 1000 * MSEC);
	g_assert_nonnull(caller->caller);
	assert_has_prefix(world_send_and_wait(caller, "READ job-1"), "ROW a");
	world_run(world, 200 * MSEC);
	assert_has_prefix(world_send_and_wait(caller, "COMMIT"), "DONE core-0");
	caller->has_unread_input = false;
	world_run(world, 200 * MSEC);
	g_assert_null(caller->caller);
	world_destroy(world);
}

/*
 * Guards against a session that begins and is cut off without an answer: the proxy has no callers
 * left and is about to exit, and the event loop reads the START of an accepted connection late. The
 * START must be refused, since the process exits some milliseconds later in any case.
 */
static void test_start_at_exit(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	pooler_drain(world->nodes[0].pooler);
	world_run(world, 3 * SEC);
	g_assert_true(world->nodes[0].drained);
	caller = world_open_session(world, 0);
	g_assert_null(caller->caller);
	g_assert_cmpint(caller->refusal_code, ==, CODE_BUSY);
	world_destroy(world);
}

/*
 * Guards against a shutdown that never ends because one caller does not read its last answer: the
 * process would be killed, and callers with statements in progress would get no answer. At the end
 * of the grace time the connection of such a caller is aborted.
 */
static void test_caller_does_not_read(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	caller->has_unsent_output = true;
	pooler_drain(world->nodes[0].pooler);
	world_run(world, 5 * SEC);
	g_assert_nonnull(caller->caller);
	g_assert_false(world->nodes[0].drained);
	world_run(world, 900 * MSEC);
	g_assert_null(caller->caller);
	g_assert_true(world->nodes[0].drained);
	world_destroy(world);
}

/*
 * Guards against requests that are delayed or cut off while a proxy closes hundreds of sessions in
 * one iteration of the event loop. On a slow VM that takes longer than the transit of a request, so
 * sessions are closed in batches and sockets are read in between.
 */
static void test_sessions_close_in_batches(void)
{
	enum { SESSIONS = 90, BATCH_MAX = 20 };
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *callers[SESSIONS];
	size_t open = 0;

	world_wait_until_ready(world);
	for (size_t i = 0; i < SESSIONS; i++)
		callers[i] = world_open_session(world, 0);
	world_run(world, 500 * MSEC);
	pooler_drain(world->nodes[0].pooler);
	for (size_t i = 0; i < SESSIONS; i++)
		open += callers[i]->caller != NULL;
	g_assert_cmpuint(open, <, SESSIONS);
	g_assert_cmpuint(open, >=, SESSIONS - BATCH_MAX);
	world_run(world, 20 * MSEC);
	for (size_t i = 0; i < SESSIONS; i++)
		g_assert_null(callers[i]->caller);
	world_destroy(world);
}

/*
 * Guards against a connection that ends before the caller has its refusal or the rest of a long
 * answer, logged as a caller that does not read. At the end of the grace time a statement is
 * refused; the session must stay open for one or two ticks until the refusal has been sent.
 */
static void test_late_refusal_is_sent(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	caller = world_open_session(world, 0);
	fake_db_primary(world->db)->extra_service_time = 2 * SEC;
	world->nodes[0].pooler->config.grace = 600 * MSEC;
	world_send(caller, "WRITE job-1 a");
	world_run(world, 2 * MSEC);
	pooler_drain(world->nodes[0].pooler);
	caller->has_unsent_output = true;
	while (caller->reply_count == 0)
		world_run(world, MSEC);
	assert_has_prefix(caller->reply, "ERR INDOUBT");
	g_assert_nonnull(caller->caller);
	caller->has_unsent_output = false;
	world_run(world, 100 * MSEC);
	g_assert_null(caller->caller);
	world_destroy(world);
}

/*
 * Guards against a new session that is closed before its first request is read. Half of the grace
 * time is over, but the load balancer has not noticed the shutdown and still sends callers. A new
 * session must be idle for a while before it is closed, since its client is about to send.
 */
static void test_new_session_after_half_grace(void)
{
	pool_world_t *world = world_create(2, NULL);
	world_caller_t *caller;

	world_wait_until_ready(world);
	world->nodes[0].pooler->config.grace = 4 * SEC;
	pooler_drain(world->nodes[0].pooler);
	world_run(world, 2100 * MSEC);
	caller = world_open_session(world, 0);
	g_assert_nonnull(caller->caller);
	world_run(world, 100 * MSEC);
	g_assert_nonnull(caller->caller);
	assert_has_prefix(world_send_and_wait(caller, "WRITE job-1 a"), "DONE core-0");
	world_destroy(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/end/unread-request", test_unread_request_is_answered);
	g_test_add_func("/end/unread-at-the-cut", test_unread_request_in_expired_tx);
	g_test_add_func("/end/served-at-the-cut", test_unread_request_in_tx_is_served);
	g_test_add_func("/end/start-while-ending", test_start_at_exit);
	g_test_add_func("/end/caller-does-not-read", test_caller_does_not_read);
	g_test_add_func("/end/some-at-a-time", test_sessions_close_in_batches);
	g_test_add_func("/end/refusal-leaves", test_late_refusal_is_sent);
	g_test_add_func("/end/new-behind-the-cut", test_new_session_after_half_grace);
	return g_test_run();
}
