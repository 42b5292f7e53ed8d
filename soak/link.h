/*
 * A TCP proxy on loopback between two processes. It forwards bytes as they come, and on request of
 * the soak delayed, at a limited rate, in one direction only or not at all; it also resets
 * connections.
 */
#pragma once

#include <stdbool.h>

#include "list.h"
#include "stream.h"

/* Directions of the bytes, as seen from the process that connects. */
typedef enum { LINK_OUT, LINK_BACK, LINK_DIRECTIONS } link_direction_t;

typedef struct link {
	loop_t *loop;
	h2o_socket_t *listener;
	char target[32];
	list_t pairs;
	usec_t delay;		   /* delay of the bytes in each direction */
	size_t rate;		   /* bytes a second in each direction, 0: no limit */
	bool cut[LINK_DIRECTIONS]; /* bytes and closes are held back until link_heal() */
} link_t;

/*
 * Listens on port and connects to target_port for each connection. Returns a child of parent, or
 * NULL if the port can't be opened.
 */
link_t *link_create(void *parent, loop_t *loop, int port, int target_port);

/* Holds back bytes and closes in this direction until link_heal(). */
void link_cut(link_t *link, link_direction_t direction);

/* Connects new connections to target_port and resets the open ones. */
void link_redirect(link_t *link, int target_port);

/* Open connections forward nothing from now on, also after link_heal(); new connections work. */
void link_silence(link_t *link);

/* Resets all connections. */
void link_reset(link_t *link);

/*
 * Removes the delay, the rate limit and the cuts, and forwards what was held back. Connections
 * whose target has closed meanwhile are reset.
 */
void link_heal(link_t *link);
