/*
 * A store that comes back from a copy some seconds old: its roster is not the newest, and what was
 * written since is known to the proxies only.
 *
 * Each roster says in which era of the store it was written. One that the store holds in a later
 * era is a copy, and names no primary to use. Proxies that know a newer roster go on with it as in
 * an outage of the store; whoever takes the duty in the new era writes the newest that it knows.
 * The holder of before knows all groups, since only it wrote them. Any other one marks each as
 * changing by an earlier holder, so that the members are asked before one of them is used.
 */
#pragma once

#include "state.h"

/* The store holds this copy under that revision. Takes the copy over. */
void restore_on_backup(pooler_t *pooler, roster_t *copy, int64_t revision);

/* The lease of our hold ended with the era in which it was granted. */
void restore_on_lease_ended(pooler_t *pooler);

/* True while the roster of the newest era is not written; nothing else may be. */
bool restore_is_pending(const pooler_t *pooler);

/* True if this proxy should leave it to another one to take the duty first. */
bool restore_must_yield(const pooler_t *pooler);

/* Write the roster, if this proxy holds the duty. */
void restore_write_roster(pooler_t *pooler, usec_t now);
