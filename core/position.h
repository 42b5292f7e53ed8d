/* Positions in a replicated log. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* A place in a group's replicated log: the term it was written in, and where. */
typedef struct position {
	uint64_t term;
	uint64_t lsn;
} position_t;

/*
 * True if a log that ends at have contains want. Holds for confirmed positions
 * only: they are part of every later term's log, unconfirmed ones may not be.
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
