/* Loans of a member's capacity among the homes of a service. */
#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "loan.h"

#define MSEC  USEC_PER_MSEC
#define START (1000 * MSEC)
#define OWN   6
#define KEPT  (OWN - OWN / LOAN_DIVISOR)
/* When loans of an earlier process have ended. */
#define SETTLED (START + LOAN_TIME + LOAN_MARGIN)

/* Guards against a lender that gives away what its own callers use, or all that it has. */
static void test_lends_only_what_is_spare(void)
{
	loan_book_t *book = loan_book_create(NULL, START);
	usec_t now = SETTLED;

	g_assert_cmpuint(loan_book_lend(book, "b", 100, OWN, 0, now), ==, OWN - KEPT);
	g_assert_cmpuint(loan_book_available(book, OWN, now), ==, KEPT);
	g_assert_cmpuint(loan_book_lend(book, "c", 1, OWN, 0, now), ==, 0);
	now += LOAN_TIME + LOAN_MARGIN;
	g_assert_cmpuint(loan_book_available(book, OWN, now), ==, OWN);
	g_assert_cmpuint(loan_book_lend(book, "b", 100, OWN, OWN - 1, now), ==, 1);
	g_assert_cmpuint(loan_book_lend(book, "c", 100, OWN, OWN, now), ==, 0);
	g_assert_cmpuint(loan_book_lend(book, "c", 100, 1, 0, now), ==, 0);
	talloc_free(book);
}

/* Guards against a gap between two loans, and against a renewal that counts twice. */
static void test_renewal_replaces(void)
{
	loan_book_t *lender = loan_book_create(NULL, START);
	loan_book_t *borrower = loan_book_create(NULL, START);
	usec_t now = SETTLED;

	for (int i = 0; i < 10; i++) {
		unsigned amount = loan_book_lend(lender, "b", 3, OWN, 0, now);

		g_assert_cmpuint(amount, ==, 3);
		loan_book_borrow(borrower, "a", amount, now, now);
		g_assert_cmpuint(loan_book_lent(lender, now), ==, 3);
		now += LOAN_TIME / 2;
		g_assert_cmpuint(loan_book_available(borrower, OWN, now), ==, OWN + 3);
	}
	/* Less than before: the borrower may not have received the answer. */
	g_assert_cmpuint(loan_book_lend(lender, "b", 1, OWN, 0, now), ==, 1);
	g_assert_cmpuint(loan_book_lent(lender, now), ==, 3);
	now += LOAN_TIME / 2 + LOAN_MARGIN;
	g_assert_cmpuint(loan_book_lent(lender, now), ==, 1);
	talloc_free(lender);
	talloc_free(borrower);
}

/* Guards against the use of a loan that has ended, or of an answer older than the last one. */
static void test_late_and_old_answers(void)
{
	loan_book_t *book = loan_book_create(NULL, START);
	usec_t now = SETTLED;

	loan_book_borrow(book, "a", 3, now - LOAN_TIME, now);
	g_assert_cmpuint(loan_book_taken(book, now), ==, 0);
	loan_book_borrow(book, "a", 1, now, now);
	loan_book_borrow(book, "a", 3, now - 10 * MSEC, now);
	loan_book_borrow(book, "a", 3, now, now);
	g_assert_cmpuint(loan_book_taken(book, now), ==, 1);
	loan_book_borrow(book, "c", 2, now, now);
	g_assert_cmpuint(loan_book_taken(book, now), ==, 3);
	g_assert_cmpuint(loan_book_taken(book, now + LOAN_TIME), ==, 0);
	talloc_free(book);
}

/* Guards against a process that uses what the one before it lent. */
static void test_new_process(void)
{
	loan_book_t *book = loan_book_create(NULL, START);

	g_assert_cmpuint(loan_book_available(book, OWN, SETTLED - 1), ==, KEPT);
	g_assert_cmpuint(loan_without_book(OWN, START, SETTLED - 1), ==, KEPT);
	g_assert_cmpuint(loan_book_lend(book, "b", 5, OWN, 0, SETTLED - 1), ==, 0);
	g_assert_cmpuint(loan_book_available(book, OWN, SETTLED), ==, OWN);
	talloc_free(book);
}

/* Guards against an empty home after its part has shrunk below what it lent. */
static void test_part_shrinks(void)
{
	loan_book_t *book = loan_book_create(NULL, START);

	loan_book_lend(book, "b", 5, OWN, 0, SETTLED);
	g_assert_cmpuint(loan_book_available(book, 2, SETTLED), ==, 1);
	g_assert_cmpuint(loan_book_lend(book, "c", 5, 2, 0, SETTLED), ==, 0);
	talloc_free(book);
}

/* --- random faults --- */

#define HOMES	     3
#define SEEDS	     200
#define STEPS	     3000
#define STEP	     (5 * MSEC)
#define MESSAGES_MAX 64

typedef struct message {
	bool is_answer;
	unsigned from;
	unsigned to;
	unsigned amount;
	unsigned life; /* of the process that asked */
	usec_t asked_at;
	usec_t due;
} message_t;

typedef struct fleet {
	GRand *rand;
	usec_t now;
	struct {
		loan_book_t *book;
		unsigned life;
		unsigned in_use;
		usec_t paused_until;
	} homes[HOMES];
	message_t messages[MESSAGES_MAX];
	size_t count;
	unsigned most_taken;
} fleet_t;

static const char *const names[HOMES] = {"a", "b", "c"};

static bool happens(fleet_t *fleet, unsigned percent)
{
	return (unsigned)g_rand_int_range(fleet->rand, 0, 100) < percent;
}

/* Sends a message: a tenth is lost, a tenth arrives up to a second late, a tenth arrives twice. */
static void post(fleet_t *fleet, message_t message)
{
	unsigned copies = happens(fleet, 10) ? 0 : 1 + happens(fleet, 10);

	for (; copies > 0 && fleet->count < MESSAGES_MAX; copies--) {
		int delay = happens(fleet, 10) ? 1000 : 20;

		message.due = fleet->now + (usec_t)g_rand_int_range(fleet->rand, 0, delay) * MSEC;
		fleet->messages[fleet->count++] = message;
	}
}

static void deliver(fleet_t *fleet, const message_t *message)
{
	message_t answer = *message;

	if (message->is_answer) {
		/* The number of a request matches only in the process that sent it. */
		if (fleet->homes[message->to].life == message->life)
			loan_book_borrow(fleet->homes[message->to].book, names[message->from],
					 message->amount, message->asked_at, fleet->now);
		return;
	}
	answer.is_answer = true;
	answer.from = message->to;
	answer.to = message->from;
	answer.amount =
		loan_book_lend(fleet->homes[message->to].book, names[message->from],
			       message->amount, OWN, fleet->homes[message->to].in_use, fleet->now);
	if (answer.amount != 0)
		post(fleet, answer);
}

static void deliver_due(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++) {
		message_t message = fleet->messages[i];

		if (message.due > fleet->now || fleet->homes[message.to].paused_until > fleet->now)
			continue;
		fleet->messages[i--] = fleet->messages[--fleet->count];
		deliver(fleet, &message);
	}
}

static void start_home(fleet_t *fleet, unsigned at)
{
	talloc_free(fleet->homes[at].book);
	fleet->homes[at].book = loan_book_create(NULL, fleet->now);
	fleet->homes[at].life++;
}

static void act(fleet_t *fleet, unsigned at)
{
	unsigned in_use = (unsigned)g_rand_int_range(fleet->rand, 0, 2 * OWN);

	if (happens(fleet, 1))
		fleet->homes[at].paused_until =
			fleet->now + (usec_t)g_rand_int_range(fleet->rand, 0, 1500) * MSEC;
	if (happens(fleet, 1))
		start_home(fleet, at);
	if (happens(fleet, 5))
		fleet->homes[at].in_use = in_use;
	for (unsigned to = 0; to < HOMES; to++) {
		if (to != at && happens(fleet, 10))
			post(fleet, (message_t){.from = at,
						.to = to,
						.amount = in_use,
						.life = fleet->homes[at].life,
						.asked_at = fleet->now});
	}
}

/* A paused home sends nothing, so it uses nothing. */
static void check_sum(fleet_t *fleet)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < HOMES; i++) {
		if (fleet->homes[i].paused_until <= fleet->now)
			sum += loan_book_available(fleet->homes[i].book, OWN, fleet->now);
		fleet->most_taken =
			MAX(fleet->most_taken, loan_book_taken(fleet->homes[i].book, fleet->now));
	}
	g_assert_cmpuint(sum, <=, HOMES * OWN);
}

/*
 * Guards against homes that together use more than their parts, whatever becomes of messages and
 * processes.
 */
static void test_sum_is_kept(void)
{
	unsigned most_taken = 0;

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet = {.rand = g_rand_new_with_seed(seed), .now = START};

		for (unsigned i = 0; i < HOMES; i++)
			start_home(&fleet, i);
		for (int step = 0; step < STEPS; step++, fleet.now += STEP) {
			for (unsigned i = 0; i < HOMES; i++) {
				if (fleet.homes[i].paused_until <= fleet.now)
					act(&fleet, i);
			}
			deliver_due(&fleet);
			check_sum(&fleet);
		}
		for (unsigned i = 0; i < HOMES; i++)
			talloc_free(fleet.homes[i].book);
		g_rand_free(fleet.rand);
		most_taken = MAX(most_taken, fleet.most_taken);
	}
	/* The seeds include a home that borrowed all from both others at once. */
	g_assert_cmpuint(most_taken, ==, 2 * (OWN - KEPT));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loan/spare", test_lends_only_what_is_spare);
	g_test_add_func("/loan/renewal", test_renewal_replaces);
	g_test_add_func("/loan/late-answers", test_late_and_old_answers);
	g_test_add_func("/loan/new-process", test_new_process);
	g_test_add_func("/loan/part-shrinks", test_part_shrinks);
	g_test_add_func("/loan/sum-is-kept", test_sum_is_kept);
	return g_test_run();
}
