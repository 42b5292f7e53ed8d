/*
 * Which groups exist and which ones this proxy watches: follows the table and
 * the fleet, and lets go of a group's members once nothing runs on them.
 */
#pragma once

#include "state.h"

/* Bring the groups up to the table and the fleet as they are now. */
void watch_refresh(core_t *core);
