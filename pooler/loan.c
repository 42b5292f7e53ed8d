#include "loan.h"

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include <talloc.h>

/*
 * Loans that are recorded at a time. There is one home a zone, and of one borrower several only
 * while it is lent less each time.
 */
#define GIVEN_MAX 8
/* Lenders of which a loan is recorded at a time. */
#define TAKEN_MAX 4
/* Time after which a loan no longer counts at the lender. */
#define GIVEN_TIME (LOAN_TIME + LOAN_MARGIN)

typedef struct given {
	char *borrower;
	unsigned amount;
	usec_t until;
} given_t;

typedef struct taken {
	char *lender;
	unsigned amount;
	usec_t asked_at;
} taken_t;

struct loan_book {
	usec_t started;
	given_t given[GIVEN_MAX];
	size_t given_count;
	taken_t taken[TAKEN_MAX];
	size_t taken_count;
};

loan_book_t *loan_book_create(void *parent, usec_t started)
{
	loan_book_t *book = talloc_zero(parent, loan_book_t);

	book->started = started;
	return book;
}

/* --- given loans --- */

static void remove_given(loan_book_t *book, size_t at)
{
	talloc_free(book->given[at].borrower);
	book->given[at] = book->given[--book->given_count];
}

/* Forgets loans that have ended, and those that one of this amount to the borrower covers. */
static void remove_covered(loan_book_t *book, const char *borrower, unsigned amount, usec_t now)
{
	for (size_t i = book->given_count; i-- > 0;) {
		const given_t *given = &book->given[i];

		if (now >= given->until ||
		    (strcmp(given->borrower, borrower) == 0 && given->amount <= amount))
			remove_given(book, i);
	}
}

static bool is_largest_of_borrower(const loan_book_t *book, size_t at, usec_t now)
{
	const given_t *given = &book->given[at];

	for (size_t i = 0; i < book->given_count; i++) {
		const given_t *other = &book->given[i];

		if (i != at && now < other->until &&
		    strcmp(other->borrower, given->borrower) == 0 &&
		    (other->amount > given->amount || (other->amount == given->amount && i < at)))
			return false;
	}
	return true;
}

/* What is lent to all but one borrower; except NULL: to all. A borrower uses one loan at a time. */
static unsigned lent_except(const loan_book_t *book, const char *except, usec_t now)
{
	unsigned sum = 0;

	for (size_t i = 0; i < book->given_count; i++) {
		const given_t *given = &book->given[i];

		if (now < given->until &&
		    (except == NULL || strcmp(given->borrower, except) != 0) &&
		    is_largest_of_borrower(book, i, now))
			sum += given->amount;
	}
	return sum;
}

unsigned loan_book_lent(const loan_book_t *book, usec_t now)
{
	return lent_except(book, NULL, now);
}

static unsigned at_least(unsigned value, unsigned minimum)
{
	return value > minimum ? value : minimum;
}

static unsigned less(unsigned from, unsigned amount)
{
	return from > amount ? from - amount : 0;
}

/* What of its part a home never lends. */
static unsigned get_kept(unsigned own)
{
	return own - own / LOAN_DIVISOR;
}

unsigned loan_book_lend(loan_book_t *book, const char *borrower, unsigned wanted, unsigned own,
			unsigned in_use, usec_t now)
{
	unsigned kept = at_least(in_use, get_kept(own));
	unsigned usable = loan_without_book(own, book->started, now);
	unsigned spare = less(less(usable, lent_except(book, borrower, now)), kept);
	unsigned amount = wanted < spare ? wanted : spare;

	if (amount == 0)
		return 0;
	remove_covered(book, borrower, amount, now);
	if (book->given_count == GIVEN_MAX)
		return 0;
	book->given[book->given_count++] = (given_t){
		.borrower = talloc_strdup(book, borrower),
		.amount = amount,
		.until = now + GIVEN_TIME,
	};
	return amount;
}

/* --- taken loans --- */

static bool is_taken_usable(const taken_t *taken, usec_t now)
{
	return now < taken->asked_at + LOAN_TIME;
}

unsigned loan_book_taken(const loan_book_t *book, usec_t now)
{
	unsigned sum = 0;

	for (size_t i = 0; i < book->taken_count; i++) {
		if (is_taken_usable(&book->taken[i], now))
			sum += book->taken[i].amount;
	}
	return sum;
}

/* Returns the entry of the lender, or one that has no usable loan; NULL: all are in use. */
static taken_t *find_taken(loan_book_t *book, const char *lender, usec_t now)
{
	for (size_t i = 0; i < book->taken_count; i++) {
		if (strcmp(book->taken[i].lender, lender) == 0)
			return &book->taken[i];
	}
	if (book->taken_count < TAKEN_MAX)
		return &book->taken[book->taken_count++];
	for (size_t i = 0; i < TAKEN_MAX; i++) {
		if (!is_taken_usable(&book->taken[i], now))
			return &book->taken[i];
	}
	return NULL;
}

void loan_book_borrow(loan_book_t *book, const char *lender, unsigned amount, usec_t asked_at,
		      usec_t now)
{
	taken_t *taken;

	if (asked_at > now || now >= asked_at + LOAN_TIME)
		return;
	taken = find_taken(book, lender, now);
	if (taken == NULL)
		return;
	if (taken->lender == NULL || strcmp(taken->lender, lender) != 0) {
		talloc_free(taken->lender);
		*taken = (taken_t){.lender = talloc_strdup(book, lender)};
	}
	/* Repeated requests may have been answered with different amounts; the first one counts. */
	if (asked_at <= taken->asked_at)
		return;
	taken->amount = amount;
	taken->asked_at = asked_at;
}

/* --- use --- */

unsigned loan_without_book(unsigned own, usec_t started, usec_t now)
{
	return now >= started + GIVEN_TIME ? own : get_kept(own);
}

unsigned loan_book_available(const loan_book_t *book, unsigned own, usec_t now)
{
	unsigned usable = loan_without_book(own, book->started, now);
	unsigned left = less(usable, loan_book_lent(book, now));

	/* Less is left than what is never lent if the part has shrunk since. */
	return at_least(left, get_kept(own)) + loan_book_taken(book, now);
}
