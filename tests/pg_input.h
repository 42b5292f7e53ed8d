/* Parses and runs the messages of the PostgreSQL protocol that a client sends. */
#pragma once

#include "pg_state.h"

/*
 * Handles the complete messages in the input buffer, up to one that is blocked: it waits for a
 * lock, a slot or the end of its service time, stays in the buffer and is handled again later.
 */
void pg_input_process(conn_t *conn);
