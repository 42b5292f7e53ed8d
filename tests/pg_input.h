/* Messages of the PostgreSQL protocol from a client. */
#pragma once

#include "pg_state.h"

/* Take up the whole messages that have come, as far as none of them waits. */
void pg_input_take(conn_t *conn);
