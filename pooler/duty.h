/*
 * The duty to replace primaries, held by one proxy at a time: notice that a
 * primary failed or is leaving, have every proxy let go of it, find the member
 * that received most, have it promoted, and write it down.
 */
#pragma once

#include "state.h"

void duty_tick(pooler_t *pooler, usec_t now);
void duty_on_promoted(service_t *service, promote_status_t status);

/* The duty was lost: whoever has it now finds the rest in the roster. */
void duty_abandon(pooler_t *pooler);
