/*
 * The choice of the member that serves a statement: the primary, or for a read the member that is
 * expected to answer first among those whose data is recent enough.
 */
#pragma once

#include "state.h"

/*
 * Returns the member that serves the caller's statement now, or NULL if none can. *servable is set
 * if some member can serve it once it has a free connection.
 */
member_t *choice_find(caller_t *caller, usec_t now, bool *servable);

/*
 * When the choice for the waiting caller may change merely because time passes; USEC_NEVER: no
 * longer.
 */
usec_t choice_next_change(const caller_t *caller, usec_t now);

/* What the members that may serve a statement can do. */
typedef struct choice_capacity {
	double slots;	   /* of these members, this proxy's part; 0: there is none */
	bool primary_only; /* it is the only one */
	usec_t replica_at; /* when a replica that lags can probably serve it as well; USEC_NEVER:
			      not known */
} choice_capacity_t;

/*
 * True if the member may get new statements. A primary that is leaving or unlisted gets writes for
 * some time, since no other member can serve them.
 */
bool choice_may_take_statements(const member_t *member, usec_t now);

/* True if a member of the service has room for one more statement. */
bool choice_has_room(const service_t *service, usec_t now);

choice_capacity_t choice_capacity(const caller_t *caller, usec_t now);
