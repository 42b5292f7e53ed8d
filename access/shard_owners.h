/*
 * Who counts the operations of a customer: for each of its seats one proxy of the fleet, which all
 * proxies work out alike from the fleet's members. The seats of a customer lie in different
 * availability zones as far as there are enough.
 *
 * While the fleet changes two proxies may take themselves for the same seat's keeper, and both
 * would let the seat's share through. So one that becomes a keeper leaves the seat vacant until its
 * predecessor can't be using it any more; keepers_since() tells how long it has been the keeper.
 */
#pragma once

#include <stddef.h>

#include "clock.h"

typedef struct fleet_member {
	const char *name;
	const char *zone;
} fleet_member_t;

typedef struct keepers keepers_t;

keepers_t *keepers_create(void *parent);

/* The fleet from now on; the names are copied. */
void keepers_set_fleet(keepers_t *keepers, const fleet_member_t *members, size_t count, usec_t now);

/* The keeper of a customer's seat (0 to LIMIT_SEATS - 1), or NULL if the fleet is empty. */
const char *keepers_find(const keepers_t *keepers, const char *customer, unsigned seat);

/* The availability zone of that keeper; NULL if the fleet is empty. */
const char *keepers_zone(const keepers_t *keepers, const char *customer, unsigned seat);

/*
 * Since when self has been the keeper without a break, USEC_NEVER if it is not. 0: at least since
 * the first fleet that this process has seen.
 */
usec_t keepers_since(const keepers_t *keepers, const char *self, const char *customer,
		     unsigned seat);

/* Who was the keeper before self became it; NULL if that is not remembered. */
const char *keepers_before(const keepers_t *keepers, const char *self, const char *customer,
			   unsigned seat);
