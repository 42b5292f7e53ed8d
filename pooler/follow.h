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

/*
 * For changes that may be heard a little late: so long after one the next call is made, and brings
 * all that came meanwhile, as when members register at a fleet's start. A member's failure is seen
 * by its silence long before its entry tells of it, and a leaving one is left alone within some
 * seconds.
 */
#define FOLLOW_COALESCE_TIME (250 * USEC_PER_MSEC)

/* Values told to a peer at a time; what is more is told as one packed text, or read by everybody.
 */
#define FOLLOW_CHANGES_MAX_BYTES (24 * 1024)

/* How a follower learnt of a change. */
typedef enum { FOLLOW_SOURCE_READ, FOLLOW_SOURCE_WATCH, FOLLOW_SOURCE_PEER } follow_source_t;

/* For logs: "reading". */
const char *follow_source_text(follow_source_t way);

/* Failed calls of one kind in a row, and the next try. */
typedef struct follow_retry {
	run_timer_t timer;
	unsigned failures;
} follow_retry_t;

struct follow;

typedef struct follow_ops {
	void (*on_changed)(struct follow *follow, const kv_item_t *item);
	void (*on_removed)(struct follow *follow, const char *key);
	/* The store was asked for all of it at that time, and everything of then was told. */
	void (*on_read)(struct follow *follow, usec_t asked_at); /* may be NULL */
} follow_ops_t;

typedef struct follow {
	const follow_ops_t *ops;
	kv_t *kv;
	const run_clock_t *clock;
	timer_set_t *timers;
	const char *prefix;
	bool read_deferred; /* the first reading waits for follow_start_deferred(), or for a peer */
	usec_t coalesce_time; /* 0, or FOLLOW_COALESCE_TIME */
	void *parent;	      /* of what it keeps */
	uint64_t random_state;
	list_t keys; /* of those told as there */
	struct known *by_key;
	int64_t revision; /* watched from here on; 0: has to be read first */
	list_t removed;	  /* keys that were told as gone of late, for follow_collect_changes() */
	int64_t as_of;	  /* the newest revision of which a peer can be told */
	int64_t complete_since; /* everything since that revision is known; 0: nothing is */
	char *packed;		/* by follow_pack_changes() */
	int64_t packed_as_of;	/* told, as it was then */
	int64_t packed_since;
	bool from_peer;		/* a peer tells what changes; the store is not watched */
	follow_source_t source; /* of the change that is being told */
	/* A whole reading, which can go on beside a watch. */
	bool reading;
	bool page_in_flight;
	usec_t read_started_at;	 /* when the first page was asked for */
	usec_t unanswered_since; /* readings are not answered since then; 0: they are */
	bool applying_page;	 /* a page is being taken */
	uint64_t read_round;
	int64_t read_revision; /* of its first page */
	char *last_key;	       /* of the page before */
	bool watching;
	/* Apart: a watch can't go through a peer, a reading can. */
	follow_retry_t page_retry;
	follow_retry_t watch_retry; /* its timer also waits for more changes, see gather */
	run_timer_t removal_timer;
} follow_t;

void follow_start(follow_t *follow, void *parent);

/* Read all of it again: events may have been missed without a sign. */
void follow_refresh(follow_t *follow);

/* Try again at once what failed: the store answers again. */
void follow_retry_failed(follow_t *follow);

/*
 * Whether a peer tells what changes, by follow_apply_changes(). A watch that is waiting goes on
 * until it ends.
 */
void follow_set_from_peer(follow_t *follow, bool fed);

/* What a follower that was told everything up to since lacks. */
typedef struct follow_changes {
	bool complete;		/* these are all, not only those that changed */
	int64_t as_of;		/* for the receiver's next question */
	const kv_item_t *items; /* value NULL: it is missing */
	size_t count;
} follow_changes_t;

typedef enum {
	FOLLOW_UP_TO_DATE,	  /* the receiver lacks nothing */
	FOLLOW_HAS_CHANGES,	  /* changes says what it lacks */
	FOLLOW_CHANGES_TOO_LARGE, /* it lacks more than FOLLOW_CHANGES_MAX_BYTES bytes */
} follow_changes_status_t;

/* The items are children of parent, their values belong to follow. */
follow_changes_status_t follow_collect_changes(const follow_t *follow, int64_t since, void *parent,
					       follow_changes_t *changes);

/*
 * What a follower that was told everything up to since lacks, packed as one text, of which a fleet
 * is told the same; it is kept. NULL if nothing is known.
 */
const char *follow_pack_changes(follow_t *follow, int64_t since);

/* For how long a reading has been under way without an answer or news of a peer; 0: none is. */
usec_t follow_unanswered_time(const follow_t *follow);

/* The same from a peer. False if the text is none. */
bool follow_apply_packed(follow_t *follow, const char *text);

/* The first reading, if it was held and nobody has told anything yet. */
void follow_start_deferred(follow_t *follow);

/* From a peer. */
void follow_apply_changes(follow_t *follow, const follow_changes_t *changes);

void follow_stop(follow_t *follow);
