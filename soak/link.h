/*
 * A TCP proxy on loopback between two processes. It passes bytes on as they
 * come, or late, slowly, in one direction only or not at all, and resets
 * connections, as the soak asks.
 */
#pragma once

#include <stdbool.h>

#include "list.h"
#include "stream.h"

/* Directions, seen from who connects. */
typedef enum { LINK_OUT, LINK_BACK, LINK_DIRECTIONS } link_direction_t;

typedef struct link {
	loop_t *loop;
	h2o_socket_t *listener;
	char target[32];
	list_t pairs;
	usec_t delay;		   /* of each direction */
	size_t rate;		   /* bytes a second and direction, 0: any */
	bool cut[LINK_DIRECTIONS]; /* bytes and ends wait until it is healed */
} link_t;

/* Returns a child of parent, or NULL. */
link_t *link_create(void *parent, loop_t *loop, int port, int target_port);

/* Bytes and ends in this direction wait until it is healed. */
void link_cut(link_t *link, link_direction_t direction);

/* Connections from now on go there; those that are open are reset. */
void link_redirect(link_t *link, int target_port);

/* Open connections go silent for good; new ones work. */
void link_silence(link_t *link);

/* Reset all connections. */
void link_reset(link_t *link);

/* Whole again; what was held back goes on. */
void link_heal(link_t *link);
