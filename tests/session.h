/*
 * Session files: timed requests, faults, edits and expectations, one a line, run in
 * a simulated environment (world.h). The README in tests/golden/ describes the
 * syntax.
 */
#pragma once

#include "world.h"

/*
 * Run the file and return the world at its end. An invalid line or a failed
 * expectation fails the test.
 */
world_t *session_play(const char *path);
