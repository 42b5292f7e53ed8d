/* A single core with a manual clock and artificial reports of the members of one group. */
#pragma once

#include "core.h"

#define SCENE_MEMBERS_MAX 5
/* Term of the group's primary, which is member m0. */
#define SCENE_TERM 3
/* Time between two ticks. */
#define SCENE_STEP (10 * USEC_PER_MSEC)

typedef struct core_scene {
	core_t *core;
	usec_t now;
	const char *group;
	int members;
	uint64_t lsn[SCENE_MEMBERS_MAX]; /* that each member reports */
	bool responds[SCENE_MEMBERS_MAX];
	size_t runs;	   /* started so far, or since a test has reset it */
	char *ran_on;	   /* the first member on which one was started; NULL: none */
	refusal_t refusal; /* of the last answer to a peer */
	char *sent_group;  /* group of the last request sent to a peer; NULL: none */
} core_scene_t;

/* Starts a core "p0" whose table has the group and the row s/c, and runs it for half a second. */
core_scene_t *core_scene_create(const char *group, int members, const char *row);
void core_scene_destroy(core_scene_t *scene);

/* Passes the event to the core, and answers its orders and connections at once. */
void core_scene_deliver(core_scene_t *scene, const event_t *event);

void core_scene_run_for(core_scene_t *scene, usec_t duration);

/* Sends a read of the row s/c, as a caller. */
void core_scene_read(core_scene_t *scene);
