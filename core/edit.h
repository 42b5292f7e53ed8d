/*
 * Operators' edits. Accepted means that the compare-and-swap on the store is
 * known to have taken: an answer that was lost is settled by trying the same
 * swap again, which either takes or shows the edit's id among those taken.
 */
#pragma once

#include "state.h"

void edit_start(core_t *core, uint64_t id, const edit_event_t *event);

/* The store answered an edit's compare-and-swap, or did not. */
void edit_store_done(core_t *core, uint64_t id, const store_event_t *event);
