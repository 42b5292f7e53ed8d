/*
 * Following a prefix of the store: reads all of it once, then watches for
 * changes, and reads it again after the history was dropped or the store was
 * away. What vanished while the store was away is told as gone only after its
 * owners had time to write it again.
 */
#pragma once

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "timer.h"

struct follow;

typedef struct follow_ops {
	void (*changed)(struct follow *follow, const kv_item_t *item);
	void (*gone)(struct follow *follow, const char *key);
} follow_ops_t;

typedef struct follow {
	const follow_ops_t *ops;
	kv_t *kv;
	const run_clock_t *clock;
	timer_set_t *timers;
	const char *prefix;
	list_t keys;	  /* of those told as there */
	int64_t revision; /* events up to here were told */
	bool whole;	  /* all of it was read once */
	bool reading;
	void *parent;	/* of what it keeps */
	char *last_key; /* of the page before */
	uint64_t reading_round;
	int64_t reading_revision; /* lowest of the pages' */
	run_timer_t timer;
	run_timer_t sweep;
	bool busy;
	unsigned failures;
	uint64_t random;
} follow_t;

void follow_start(follow_t *follow, void *parent);
void follow_stop(follow_t *follow);
