/* Positions in a replicated log. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A position in a group's replicated log, with the term of the entry there. */
typedef struct position {
	uint64_t term;
	uint64_t lsn;
} position_t;

/*
 * True if a log that ends at have contains want. Valid only if want is confirmed
 * (held by a majority): such entries are in the log of every later term, while
 * unconfirmed entries may be missing there.
 */
static inline bool position_covers(position_t have, position_t want)
{
	return have.term >= want.term && have.lsn >= want.lsn;
}

/* The later of two confirmed positions. */
static inline position_t position_max(position_t a, position_t b)
{
	return (position_t){
		.term = a.term > b.term ? a.term : b.term,
		.lsn = a.lsn > b.lsn ? a.lsn : b.lsn,
	};
}
