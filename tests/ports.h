/*
 * Blocks of loopback ports for programs that tests run as processes, below the
 * range that the kernel hands out by itself.
 */
#pragma once

#include <glib.h>

/* Ports that a block has for use; the one after them says that the block is taken. */
#define PORTS_PER_BLOCK 63

typedef struct ports {
	int first;
	int claim_fd;
} ports_t;

/* Take a block that no other test run on this VM holds; aborts if there is none. */
void ports_reserve(ports_t *ports);

/* Give the block back, once every process that was started on it has ended. */
void ports_release(ports_t *ports);
