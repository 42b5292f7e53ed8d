/*
 * Taking over a newer roster, and what it means for the work under way: primaries that are no
 * longer to be used, proxies that have joined or left.
 */
#pragma once

#include "state.h"

/* Takes newer over, and frees it. */
void adopt_roster(pooler_t *pooler, roster_t *newer);

/* The same from its text, whole or changes; false if it can't be taken. */
bool adopt_roster_text(pooler_t *pooler, const char *text, size_t len, int64_t revision);

/* The store was in the era of that revision. */
void adopt_era(sync_t *sync, int64_t revision);
