/*
 * Blocks of loopback ports for the processes that tests start. The blocks lie below the range of
 * ephemeral ports.
 */
#pragma once

#include <glib.h>

/* Usable ports of a block. One more port after them marks the block as reserved. */
#define PORTS_PER_BLOCK 63

typedef struct ports {
	int first;
	int claim_fd; /* listens on the last port of the block */
} ports_t;

/* Reserves a block that no other test run on this VM uses; aborts if there is none. */
void ports_reserve(ports_t *ports);

/* Releases the block, which is free again when every process started on it has ended, too. */
void ports_release(ports_t *ports);
