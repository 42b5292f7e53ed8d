/*
 * Follows a key prefix of the store: reads it once and then watches it, and reads it again after
 * the store has dropped its history or was unreachable. Alternatively a peer sends the changes. A
 * key that is missing is reported as removed only after a delay, since its owner may write it again
 * after an outage of the store.
 */
#pragma once

#include "clock.h"
#include "kv.h"
#include "list.h"
#include "timer.h"

/*
 * Delay between a change and the next call of the watch, for prefixes whose changes need not arrive
 * at once. The call then brings all changes of that time, as when many members register at a
 * fleet's start. A failed member is detected by its silence long before its entry disappears, and a
 * leaving one is to be released within some seconds.
 */
#define FOLLOW_COALESCE_TIME (250 * USEC_PER_MSEC)

/*
 * Largest size of changes sent to a peer as separate items; larger ones are sent as one compressed
 * text or read from the store by the peer.
 */
#define FOLLOW_CHANGES_MAX_BYTES (24 * 1024)

/* Where a follower received a change from. */
typedef enum { FOLLOW_SOURCE_READ, FOLLOW_SOURCE_WATCH, FOLLOW_SOURCE_PEER } follow_source_t;

/* Text for logs, for example "reading". */
const char *follow_source_text(follow_source_t source);

/* Consecutive failures of one kind of call, and the timer of its next attempt. */
typedef struct follow_retry {
	run_timer_t timer;
	unsigned failures;
} follow_retry_t;

struct follow;

typedef struct follow_ops {
	void (*on_changed)(struct follow *follow, const kv_item_t *item);
	void (*on_removed)(struct follow *follow, const char *key);
	/* A full read that was sent at asked_at is complete, and all of its items were reported. */
	void (*on_read)(struct follow *follow, usec_t asked_at);
} follow_ops_t;

typedef struct follow {
	const follow_ops_t *ops;
	kv_t *kv;
	const run_clock_t *clock;
	timer_set_t *timers;
	const char *prefix;
	bool read_deferred; /* the first read waits for follow_start_deferred(), unless a peer sends
			       everything before */
	usec_t coalesce_time; /* 0 or FOLLOW_COALESCE_TIME */
	void *parent;	      /* talloc parent of the entries */
	uint64_t random_state;
	list_t keys; /* entries that were reported as present */
	struct follow_entry *by_key;
	int64_t revision;	/* the watch starts after this; 0: a full read comes first */
	list_t removed;		/* keys removed recently, for follow_collect_changes() */
	int64_t as_of;		/* newest revision up to which changes can be sent to a peer */
	int64_t complete_since; /* all changes since that revision are available; 0: none are */
	char *packed;		/* text of the last follow_pack_changes(); NULL: none */
	int64_t packed_as_of;	/* as_of when packed was made */
	int64_t packed_since;
	bool from_peer;		/* a peer sends the changes; the store is not watched */
	follow_source_t source; /* of the change that is being reported */
	/* State of a full read, which can run beside a watch. */
	bool reading;
	bool page_in_flight;
	usec_t read_started_at;	 /* when the first page was requested */
	usec_t unanswered_since; /* since when no read was answered and no peer has sent changes; 0:
				    no read is pending */
	bool applying_page;	 /* the items of a page are being applied */
	uint64_t read_round;
	int64_t read_revision; /* store revision of the read's first page */
	char *last_key;	       /* last key of the previous page; NULL: the first page is next */
	bool watching;
	/* Separate back-offs: a read can be relayed through a peer, a watch cannot. */
	follow_retry_t page_retry;
	follow_retry_t watch_retry; /* its timer also delays the next watch by coalesce_time */
	run_timer_t removal_timer;
} follow_t;

void follow_start(follow_t *follow, void *parent);

/* Starts another full read, since a watch can miss changes without an error. */
void follow_refresh(follow_t *follow);

/* Retries failed calls at once, when the store answers again. */
void follow_retry_failed(follow_t *follow);

/*
 * Sets whether a peer sends the changes, by follow_apply_changes(). A watch that is in flight
 * continues until it ends.
 */
void follow_set_from_peer(follow_t *follow, bool from_peer);

/* Changes that a follower lacks which has received everything up to a revision. */
typedef struct follow_changes {
	bool complete;		/* items holds all entries, not only those that changed */
	int64_t as_of;		/* revision for the receiver's next query */
	const kv_item_t *items; /* value NULL: the key is missing */
	size_t count;
} follow_changes_t;

typedef enum {
	FOLLOW_UP_TO_DATE,	  /* the receiver lacks nothing */
	FOLLOW_HAS_CHANGES,	  /* changes holds what the receiver lacks */
	FOLLOW_CHANGES_TOO_LARGE, /* the receiver lacks more than FOLLOW_CHANGES_MAX_BYTES */
} follow_changes_status_t;

/*
 * Collects the changes after since. The items are children of parent, their values belong to
 * follow.
 */
follow_changes_status_t follow_collect_changes(const follow_t *follow, int64_t since, void *parent,
					       follow_changes_t *changes);

/*
 * The changes after since as one compressed text. It is cached, since many proxies receive the same
 * one. NULL if there was no full read yet.
 */
const char *follow_pack_changes(follow_t *follow, int64_t since);

/* Time since a pending read was sent or a peer last sent changes; 0: no read is pending. */
usec_t follow_unanswered_time(const follow_t *follow);

/* Applies a text of follow_pack_changes() from a peer. False if the text is invalid. */
bool follow_apply_packed(follow_t *follow, const char *text);

/* Starts a deferred first read, unless a peer has sent everything before. */
void follow_start_deferred(follow_t *follow);

/* Applies changes from a peer. */
void follow_apply_changes(follow_t *follow, const follow_changes_t *changes);

void follow_stop(follow_t *follow);
