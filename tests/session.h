/*
 * Session files: timed requests, faults and edits played in a world, a line
 * each. README in tests/golden/ gives the words.
 */
#pragma once

#include "world.h"

/* Play the file; returns the world at its end. Fails the test on a broken line or expectation. */
world_t *session_play(const char *path);
