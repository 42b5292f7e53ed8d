/*
 * Loans of a member's capacity among the homes of a service. Each home owns an equal part of the
 * statements that a member may have in progress. A home whose callers wait asks the others, and one
 * with capacity to spare lends some of it for a stated time.
 *
 * A lender counts a loan as used from before the message that grants it is sent until after the
 * borrower has stopped using it, and never lends more than it owns. So at any time the homes
 * together may have no more statements at a member than their own parts add up to, whichever
 * messages are lost, late or repeated, and whichever homes are paused or start anew. Each side
 * counts by its own clock: the borrower from when it sent the request that the loan answers, the
 * lender from when it granted it. Three things can exceed the sum, by no more than the loans that
 * are out: a home that takes the place of one that lent and is silent, a part that shrinks while
 * some of it is lent, and a statement that takes longer than LOAN_MARGIN and was sent at the end of
 * a loan.
 *
 * Connections are not lent: a connection with an open transaction outlives any loan, so the lender
 * could not know when it has its part back.
 */
#pragma once

#include "clock.h"

/* Time for which a loan may be used. */
#define LOAN_TIME (400 * USEC_PER_MSEC)
/* Added to it by the lender: the borrower may send its last statement at the end of the loan. */
#define LOAN_MARGIN (100 * USEC_PER_MSEC)
/*
 * A home lends at most one in this many statements of its part. A first caller of its own need not
 * wait then, and a process that has just started can serve, though it does not know what the one
 * before it lent. More would not help the borrower: with half of the others' parts of two
 * statements a slot it keeps all slots busy.
 */
#define LOAN_DIVISOR 2

/* The loans of one home at one member, given and taken. Amounts are statements in progress. */
typedef struct loan_book loan_book_t;

/*
 * started: when this process started. An earlier one of the same proxy may have lent what can be
 * lent just before, so the book does not allow its use until such loans have ended.
 */
loan_book_t *loan_book_create(void *parent, usec_t started);

/* What a process that started then, and has neither given nor taken loans, may use of its part. */
unsigned loan_without_book(unsigned own, usec_t started, usec_t now);

/* What this home may use now, of a part that it owns: less given, plus taken loans. */
unsigned loan_book_available(const loan_book_t *book, unsigned own, usec_t now);

/*
 * Decides what is lent to a home that asks for wanted, while this home itself needs in_use of its
 * own part; records the loan. Returns what is lent, which may be nothing. A loan replaces an
 * earlier one to the same borrower, which is counted all the same until it ends, since the answer
 * may be lost.
 */
unsigned loan_book_lend(loan_book_t *book, const char *borrower, unsigned wanted, unsigned own,
			unsigned in_use, usec_t now);

/*
 * Records a loan that answers a request sent at asked_at; it replaces one that answers an earlier
 * request. Too late, or older than what the book has, it is not used.
 */
void loan_book_borrow(loan_book_t *book, const char *lender, unsigned amount, usec_t asked_at,
		      usec_t now);

/* What is lent now, and what was borrowed and may be used now. */
unsigned loan_book_lent(const loan_book_t *book, usec_t now);
unsigned loan_book_taken(const loan_book_t *book, usec_t now);
