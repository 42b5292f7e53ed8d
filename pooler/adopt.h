/*
 * Replaces the roster by a newer one and applies the consequences: connections to primaries that
 * are being replaced are closed, and proxies that have joined or left are recorded.
 */
#pragma once

#include "state.h"

/* Adopts newer, and frees it. */
void adopt_roster(pooler_t *pooler, roster_t *newer);

/* Adopts a roster from its text, complete or as changes; false if the text can't be applied. */
bool adopt_roster_text(pooler_t *pooler, const char *text, size_t len, int64_t revision);

/* Records the store's era, taken from one of its revisions. */
void adopt_era(sync_t *sync, int64_t revision);
