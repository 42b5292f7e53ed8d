/*
 * The state of a service's members as this proxy sees it, for operators: what its connections to
 * each do and since when, what keeps it from opening more, and which home serves in its place. It
 * is logged when a statement is refused since nothing could serve it, and is part of the dump.
 */
#pragma once

#include <jansson.h>

#include "state.h"

/* What an operator needs to know about one member. Times are in ms; -1: does not apply. */
typedef struct member_state {
	size_t conns[CONN_STATES]; /* by conn_state_t, without the connection of a probe */
	size_t share;		   /* connections that this proxy may always have */
	bool can_open;		   /* one more may be opened now, also beyond the share */
	int64_t opening_ms;	   /* age of the oldest connection that is being opened */
	int64_t request_ms;	   /* age of the oldest request without a reply */
	int64_t backoff_ms;	   /* time until a connection may be opened; 0: now */
	int64_t no_borrow_ms;	   /* time until the share may be exceeded; 0: now */
	int64_t suspect_ms;	   /* since the first sign of failure */
	int64_t probe_ms;	   /* age of the probe in progress */
	int64_t last_reply_ms;	   /* since the last reply; -1: there was none */
} member_state_t;

member_state_t member_state_get(const member_t *member, usec_t now);

/* For the dump: the state of the member, and the home of the service, as JSON objects. */
json_t *member_state_to_json(const member_t *member, usec_t now);
json_t *member_state_home_to_json(service_t *service, usec_t now);

/*
 * Logs the state of the service, and of MEMBER_STATE_LINES_MAX of its members, unless that was done
 * within the last MEMBER_STATE_INTERVAL.
 */
void member_state_log(service_t *service, usec_t now);

#define MEMBER_STATE_INTERVAL  (1 * USEC_PER_SEC)
#define MEMBER_STATE_LINES_MAX 8
