/*
 * Creates the groups of the table and starts and stops watching them as the table
 * and the fleet change. Watching stops once no request runs on the group's members.
 */
#pragma once

#include "state.h"

/* Update the groups to the current table and fleet. */
void watch_update_groups(core_t *core);
