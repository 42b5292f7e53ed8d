/*
 * Ports of a soak below the range that the kernel hands out. Soaks that run at
 * the same time take blocks of their own.
 */
#pragma once

#define PORTS_FIRST 10000
#define PORTS_BLOCK 256

/* Reserve count ports in a row until this process ends. The first one, or -1: none are free. */
int ports_reserve(int count);
