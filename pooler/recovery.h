/* When a service without a usable primary is expected to have one again. */
#pragma once

#include "state.h"

/* Returns when the primary is expected to be usable again; USEC_NEVER if there is no estimate. */
usec_t recovery_expected_at(const service_t *service, usec_t now);
