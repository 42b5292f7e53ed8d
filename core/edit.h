/*
 * Operators' edits of the table. An edit is accepted once its compare-and-swap on
 * the store has certainly succeeded. If an answer of the store is lost, the same
 * swap is tried again: it succeeds, or the store lists the edit's id as committed.
 */
#pragma once

#include "state.h"

void edit_start(core_t *core, uint64_t id, const edit_event_t *event);

/* The result of an edit's compare-and-swap, or its time-out. */
void edit_store_done(core_t *core, uint64_t id, const store_event_t *event);
