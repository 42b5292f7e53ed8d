/*
 * The log positions up to which replicas must have applied a session's own commits, one for each
 * service. The route of a session may move to another service and back, and a position says nothing
 * about the log of another service.
 */
#pragma once

#include "clock.h"
#include "list.h"
#include "position.h"

struct service;

/* Services whose positions a session keeps; a route rarely moves. */
#define OWN_COMMITS_MAX 16

/* The last commit of a session at a service. */
typedef struct own_commit {
	list_t node;
	const struct service *service;
	bool has_position; /* false: the position is not known, only when the reply came */
	position_t position;
	usec_t at; /* when the reply came */
} own_commit_t;

typedef struct own_commits {
	list_t list; /* own_commit_t, in the order of at */
	size_t count;
	/* Reply to the newest commit whose entry was dropped for lack of room; 0: none was. */
	usec_t dropped_at;
} own_commits_t;

void own_commits_init(own_commits_t *commits);

/*
 * Records a commit of the session, which supersedes earlier ones at the service: they are in the
 * same log. position NULL: the reply carried none. The memory is allocated under the talloc parent.
 */
void own_commits_record(own_commits_t *commits, void *parent, const struct service *service,
			const position_t *position, usec_t at);

/*
 * Sets the session's last commit at the service and returns true, or returns false if there is
 * none. For an entry that was dropped this is a commit without a position.
 */
bool own_commits_find(const own_commits_t *commits, const struct service *service,
		      own_commit_t *commit);
