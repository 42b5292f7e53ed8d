/* Taking proxies off the roster that went without a word. */
#pragma once

#include "state.h"

/* For the holder of the duty: they must not hold up every change of primary for ever. */
void sweep_tick(pooler_t *pooler, usec_t now);
