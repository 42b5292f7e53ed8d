/*
 * The order in which waiting statements are served: queues with a passed time, no members. Each
 * test's comment says which failure it guards against.
 */
#include "wait_queue.h"

#include <glib.h>
#include <talloc.h>

#define MSEC   USEC_PER_MSEC
#define START  (100 * USEC_PER_SEC)
#define LONG   (1000 * USEC_PER_SEC) /* an objective that nobody misses */
#define NUMBER 200

typedef struct scene {
	wait_queue_t *queue;
	waiter_t waiters[NUMBER];
	size_t count;
} scene_t;

static const char customers[] = "abcdefgh";

static void start(scene_t *scene)
{
	*scene = (scene_t){.queue = wait_queue_create(NULL)};
}

static void end(scene_t *scene)
{
	talloc_free(scene->queue);
}

static waiter_t *add(scene_t *scene, int customer, int64_t priority, usec_t arrived_at,
		     usec_t objective, usec_t work)
{
	waiter_t *waiter = &scene->waiters[scene->count++];

	*waiter = (waiter_t){.customer = &customers[customer],
			     .priority = priority,
			     .arrived_at = arrived_at,
			     .objective = objective,
			     .work = work,
			     .response = work};
	wait_queue_add(scene->queue, waiter, START);
	return waiter;
}

static waiter_t *serve(scene_t *scene, usec_t now)
{
	waiter_t *waiter = wait_queue_first(scene->queue, now);

	g_assert_nonnull(waiter);
	wait_queue_on_served(scene->queue, waiter);
	wait_queue_remove(scene->queue, waiter);
	return waiter;
}

/* Serves that many and returns the work of those of the customer. */
static usec_t serve_work_of(scene_t *scene, size_t count, int customer)
{
	usec_t work = 0;

	for (size_t i = 0; i < count; i++) {
		const waiter_t *waiter = serve(scene, START);

		if (waiter->customer == &customers[customer])
			work += waiter->work;
	}
	return work;
}

/*
 * Guards against a member's time spent on callers that can't be served in time, while others could;
 * and on the oldest of them, which has the least time left.
 */
static void test_late_last_newest_first(void)
{
	scene_t scene;
	waiter_t *oldest;
	waiter_t *late;
	waiter_t *second;
	waiter_t *first;

	start(&scene);
	oldest = add(&scene, 0, 0, START, 100 * MSEC, 10 * MSEC);
	late = add(&scene, 0, 0, START + 20 * MSEC, 100 * MSEC, 10 * MSEC);
	second = add(&scene, 0, 1, START + 90 * MSEC, 300 * MSEC, 10 * MSEC);
	first = add(&scene, 0, 1, START + 100 * MSEC, 200 * MSEC, 10 * MSEC);
	g_assert_true(serve(&scene, START + 115 * MSEC) == first);
	g_assert_true(serve(&scene, START + 115 * MSEC) == second);
	g_assert_true(serve(&scene, START + 115 * MSEC) == late);
	g_assert_true(serve(&scene, START + 115 * MSEC) == oldest);
	g_assert_null(wait_queue_first(scene.queue, START + 115 * MSEC));
	end(&scene);
}

/* Guards against a route of low priority that gets nothing, and against one that gets too much. */
static void test_floor(void)
{
	scene_t scene;
	size_t low = 0;
	size_t lowest = 0;

	start(&scene);
	for (int i = 0; i < 100; i++)
		add(&scene, 0, 0, START, LONG, 10 * MSEC);
	for (int i = 0; i < 20; i++) {
		add(&scene, 0, 1, START, LONG, 10 * MSEC);
		add(&scene, 0, 7, START, LONG, 10 * MSEC);
	}
	for (int i = 0; i < 100; i++) {
		int64_t priority = serve(&scene, START)->priority;

		low += priority == 1;
		lowest += priority == 7;
	}
	g_assert_cmpuint(low + lowest, >=, 100 / WAIT_QUEUE_FLOOR_DIVISOR - 1);
	g_assert_cmpuint(low + lowest, <=, 100 / WAIT_QUEUE_FLOOR_DIVISOR + 1);
	g_assert_cmpuint(low, >=, 4);
	g_assert_cmpuint(lowest, >=, 4);
	end(&scene);
}

/* The first waiter of the customer and priority is sent, refused by its member, and waits again. */
static void send_in_vain(scene_t *scene, int customer, int64_t priority)
{
	waiter_t *waiter = wait_queue_first(scene->queue, START);

	while (waiter->customer != &customers[customer] || waiter->priority != priority)
		waiter = wait_queue_next(scene->queue, waiter);
	wait_queue_on_served(scene->queue, waiter);
	wait_queue_remove(scene->queue, waiter);
	wait_queue_on_refused(scene->queue, waiter);
	wait_queue_add(scene->queue, waiter, START);
}

/*
 * Guards against a priority without service because statements count as work done for it that its
 * members refused without running them, as lagging replicas do.
 */
static void test_refused_is_no_work_of_priority(void)
{
	scene_t scene;
	size_t low = 0;

	start(&scene);
	for (int i = 0; i < 100; i++)
		add(&scene, 0, 0, START, LONG, 10 * MSEC);
	for (int i = 0; i < 20; i++)
		add(&scene, 0, 1, START, LONG, 10 * MSEC);
	for (int i = 0; i < 100; i++) {
		for (int j = 0; j < 4; j++)
			send_in_vain(&scene, 0, 1);
		low += serve(&scene, START)->priority == 1;
	}
	g_assert_cmpuint(low, >=, 100 / WAIT_QUEUE_FLOOR_DIVISOR - 1);
	g_assert_cmpuint(low, <=, 100 / WAIT_QUEUE_FLOOR_DIVISOR + 1);
	end(&scene);
}

/* Guards against the same for a customer among others of its priority. */
static void test_refused_is_no_work_of_customer(void)
{
	scene_t scene;
	usec_t work = 0;

	start(&scene);
	for (int i = 0; i < 40; i++) {
		for (int customer = 0; customer < 3; customer++)
			add(&scene, customer, 0, START, LONG, 10 * MSEC);
	}
	for (int i = 0; i < 60; i++) {
		for (int j = 0; j < 4; j++)
			send_in_vain(&scene, 1, 0);
		work += serve_work_of(&scene, 1, 1);
	}
	g_assert_cmpuint(work, >=, 20 * 10 * MSEC - WAIT_QUEUE_QUANTUM);
	g_assert_cmpuint(work, <=, 20 * 10 * MSEC + WAIT_QUEUE_QUANTUM);
	end(&scene);
}

/*
 * Guards against a customer that sends many times as much as the others and has them wait, and
 * against shares by number of statements although their work differs.
 */
static void test_customers_share_work(void)
{
	scene_t scene;

	start(&scene);
	for (int i = 0; i < 80; i++)
		add(&scene, 0, 0, START, LONG, 5 * MSEC);
	for (int i = 0; i < 30; i++)
		add(&scene, 1, 0, START, LONG, 25 * MSEC);
	/* 60 statements: 50 of 5 ms and 10 of 25 ms are equal shares. */
	g_assert_cmpuint(serve_work_of(&scene, 60, 1), >=, 225 * MSEC);
	for (int i = 0; i < 5; i++)
		add(&scene, 2, 0, START, LONG, 5 * MSEC);
	/* A customer that comes new gets its quantum within one turn of the others. */
	g_assert_cmpuint(serve_work_of(&scene, 12, 2), >=, WAIT_QUEUE_QUANTUM);
	end(&scene);
}

/*
 * Guards against a customer that loses its later share, because it alone could be served while no
 * connection of the others was free.
 */
static void test_served_alone_is_no_debt(void)
{
	scene_t scene;
	waiter_t *waiter;

	start(&scene);
	add(&scene, 0, 0, START, LONG, 10 * MSEC);
	for (int i = 0; i < 60; i++) {
		waiter = add(&scene, 1, 0, START, LONG, 10 * MSEC);
		wait_queue_on_served(scene.queue, waiter);
		if (i < 59)
			wait_queue_remove(scene.queue, waiter);
	}
	for (int i = 0; i < 40; i++) {
		add(&scene, 0, 0, START, LONG, 10 * MSEC);
		add(&scene, 1, 0, START, LONG, 10 * MSEC);
	}
	g_assert_cmpuint(serve_work_of(&scene, 40, 1), >=, 160 * MSEC);
	end(&scene);
}

/* Fills the scene at random and returns the number of waiters that are left. */
static size_t fill(scene_t *scene, GRand *rand)
{
	size_t left = 0;

	while (scene->count < NUMBER)
		add(scene, g_rand_int_range(rand, 0, 8), g_rand_int_range(rand, 0, 3),
		    START - (usec_t)g_rand_int_range(rand, 0, 200) * MSEC,
		    (usec_t)g_rand_int_range(rand, 50, 300) * MSEC,
		    (usec_t)g_rand_int_range(rand, 1, 60) * MSEC);
	for (size_t i = 0; i < NUMBER; i++) {
		if (g_rand_int_range(rand, 0, 2) == 0)
			wait_queue_remove(scene->queue, &scene->waiters[i]);
		left += scene->waiters[i].flow != NULL;
	}
	return left;
}

/* Guards against waiters that no walk reaches, or that it meets twice, or that come late ones last.
 */
static void test_walk_meets_each_once(void)
{
	for (guint32 seed = 0; seed < 200; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		scene_t scene;
		size_t left;
		size_t met = 0;
		bool late = false;
		GHashTable *seen = g_hash_table_new(NULL, NULL);

		start(&scene);
		left = fill(&scene, rand);
		for (size_t i = 0; i < left / 4; i++, left--)
			serve(&scene, START);
		for (waiter_t *it = wait_queue_first(scene.queue, START); it != NULL;
		     it = wait_queue_next(scene.queue, it)) {
			g_assert_true(g_hash_table_add(seen, it));
			g_assert_false(late && !it->late);
			late = it->late;
			met++;
		}
		g_assert_cmpuint(met, ==, left);
		g_assert_cmpuint(wait_queue_len(scene.queue), ==, left);
		g_hash_table_destroy(seen);
		g_rand_free(rand);
		end(&scene);
	}
}

/*
 * Guards against refusals by a wrong expectation: the work ahead of a waiter is what is served
 * before it, to a fifth and one turn of each of five customers in two priorities.
 */
static void test_work_ahead(void)
{
	static const usec_t slack = 10 * WAIT_QUEUE_QUANTUM;

	for (guint32 seed = 0; seed < 50; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		scene_t scene;
		const waiter_t *marked;
		usec_t expected;
		usec_t before = 0;

		start(&scene);
		while (scene.count < 100)
			add(&scene, g_rand_int_range(rand, 0, 5), g_rand_int_range(rand, 0, 2),
			    START, LONG, (usec_t)g_rand_int_range(rand, 5, 30) * MSEC);
		marked = &scene.waiters[g_rand_int_range(rand, 0, 100)];
		expected = wait_queue_work_ahead(scene.queue, marked, START).all;
		while (marked->flow != NULL)
			before += serve(&scene, START)->work;
		before -= marked->work;
		g_assert_cmpuint(before, <=, expected * 12 / 10 + slack);
		g_assert_cmpuint(before + slack, >=, expected * 8 / 10);
		g_rand_free(rand);
		end(&scene);
	}
}

/*
 * Guards against callers of a small customer refused for a queue that a large one fills, or that it
 * has lately used.
 */
static void test_largest_gives_way(void)
{
	scene_t scene;
	const waiter_t *last;
	const waiter_t *other;
	waiter_t *arrival;

	start(&scene);
	add(&scene, 0, 0, START, LONG, 10 * MSEC);
	add(&scene, 0, 0, START, LONG, 10 * MSEC);
	last = add(&scene, 0, 0, START, LONG, 10 * MSEC);
	add(&scene, 0, 1, START, LONG, 10 * MSEC);
	other = add(&scene, 1, 0, START, LONG, 10 * MSEC);
	arrival = add(&scene, 2, 0, START, LONG, 10 * MSEC);
	g_assert_true(wait_queue_displaced_by(scene.queue, arrival, START) == last);
	g_assert_null(wait_queue_displaced_by(scene.queue, last, START));
	scene.waiters[4].usage = 100 * MSEC;
	wait_queue_remove(scene.queue, &scene.waiters[4]);
	wait_queue_add(scene.queue, &scene.waiters[4], START);
	g_assert_true(wait_queue_displaced_by(scene.queue, arrival, START) == other);
	end(&scene);
}

/* Guards against memory that grows with the customers that ever waited. */
static void test_empty_queue_keeps_nothing(void)
{
	scene_t scene;
	size_t blocks;

	start(&scene);
	blocks = talloc_total_blocks(scene.queue);
	for (int i = 0; i < NUMBER; i++)
		add(&scene, i % 8, i % 5, START, LONG, 10 * MSEC);
	for (int i = 0; i < NUMBER; i++)
		wait_queue_remove(scene.queue, &scene.waiters[i]);
	g_assert_cmpuint(talloc_total_blocks(scene.queue), ==, blocks);
	g_assert_cmpuint(wait_queue_work(scene.queue).all, ==, 0);
	end(&scene);
}

/*
 * Guards against a queue that seems to have been waiting on time since long ago, when a late waiter
 * can meet its objective again by a quicker member.
 */
static void test_on_time_again(void)
{
	scene_t scene;
	waiter_t *waiter;

	start(&scene);
	waiter = add(&scene, 0, 0, START, 200 * MSEC, 20 * MSEC);
	wait_queue_update(scene.queue, waiter, 20 * MSEC, 190 * MSEC, false, START);
	g_assert_false(wait_queue_has_on_time(scene.queue, START + 50 * MSEC));
	wait_queue_update(scene.queue, waiter, 20 * MSEC, 20 * MSEC, false, START + 100 * MSEC);
	g_assert_cmpuint(wait_queue_on_time_since(scene.queue, 0, START + 100 * MSEC), ==,
			 START + 100 * MSEC);
	end(&scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wait-queue/late-last", test_late_last_newest_first);
	g_test_add_func("/wait-queue/floor", test_floor);
	g_test_add_func("/wait-queue/refused-priority", test_refused_is_no_work_of_priority);
	g_test_add_func("/wait-queue/refused-customer", test_refused_is_no_work_of_customer);
	g_test_add_func("/wait-queue/customers", test_customers_share_work);
	g_test_add_func("/wait-queue/served-alone", test_served_alone_is_no_debt);
	g_test_add_func("/wait-queue/walk", test_walk_meets_each_once);
	g_test_add_func("/wait-queue/work-ahead", test_work_ahead);
	g_test_add_func("/wait-queue/largest-gives-way", test_largest_gives_way);
	g_test_add_func("/wait-queue/memory", test_empty_queue_keeps_nothing);
	g_test_add_func("/wait-queue/on-time-again", test_on_time_again);
	return g_test_run();
}
