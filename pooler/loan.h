/*
 * Loans of a member's capacity among the homes of a service. Each home owns an equal part of a
 * member's slots and connections. A home whose callers wait asks the others, and one with capacity
 * to spare lends some of it for a stated time.
 *
 * A lender counts a loan as used from before the message that grants it is sent until after the
 * borrower has stopped using it, so the homes together never exceed the member's capacity,
 * whichever messages are lost, late or repeated. Each side counts by its own clock: the borrower
 * from when it sent the request that the loan answers, the lender from when it granted it.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"

/* Time for which a loan may be used. */
#define LOAN_TIME (400 * USEC_PER_MSEC)
/* Added to it by the lender: the borrower may send its last statement at the end of the loan. */
#define LOAN_MARGIN (100 * USEC_PER_MSEC)

/* Capacity of one member: slots in hundredths, and connections. */
typedef struct loan_amount {
	unsigned slot_percent;
	unsigned connections;
} loan_amount_t;

/* The loans of one home at one member, given and taken. */
typedef struct loan_book loan_book_t;

loan_book_t *loan_book_create(void *parent);

/* Capacity that this home may use now, of a part that it owns: less given, plus taken loans. */
loan_amount_t loan_book_available(const loan_book_t *book, loan_amount_t own, usec_t now);

/*
 * Decides what is lent to a home that asks for wanted, while this home itself uses, or expects to
 * use, in_use of its own part; records the loan. Returns what is lent, which may be nothing.
 */
loan_amount_t loan_book_lend(loan_book_t *book, const char *borrower, loan_amount_t wanted,
			     loan_amount_t own, loan_amount_t in_use, usec_t now);

/* Records a loan that answers a request sent at asked_at; too late, it is not used. */
void loan_book_borrow(loan_book_t *book, const char *lender, loan_amount_t amount, usec_t asked_at,
		      usec_t now);
