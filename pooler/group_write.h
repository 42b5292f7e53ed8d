/*
 * Writes the services' groups to the roster: which member is the primary, and whether it is about
 * to be replaced. Only the leader does this.
 */
#pragma once

#include "state.h"

/* Queues a write of the service's group; it replaces one that is queued already. */
void group_write_queue(service_t *service, const char *primary, bool changing, uint64_t term);

/* Drops the queued write of the service's group, if there is one. */
void group_write_cancel(service_t *service);

/* Sends the queued groups in one write, unless one is in flight or the last one was too recent. */
void group_write_send(pooler_t *pooler, usec_t now);
