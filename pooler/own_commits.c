#include "own_commits.h"

#include <talloc.h>

void own_commits_init(own_commits_t *commits)
{
	list_init(&commits->list);
	commits->count = 0;
	commits->dropped_at = 0;
}

static own_commit_t *find(const own_commits_t *commits, const struct service *service)
{
	list_for_each (it, &commits->list) {
		own_commit_t *commit = list_entry(it, own_commit_t, node);

		if (commit->service == service)
			return commit;
	}
	return NULL;
}

/* Takes the entry of the oldest commit off the list. */
static own_commit_t *take_oldest(own_commits_t *commits)
{
	own_commit_t *oldest = list_entry(commits->list.next, own_commit_t, node);

	commits->dropped_at = oldest->at;
	commits->count--;
	list_del(&oldest->node);
	return oldest;
}

static own_commit_t *add(own_commits_t *commits, void *parent)
{
	own_commit_t *commit = commits->count == OWN_COMMITS_MAX ? take_oldest(commits)
								 : talloc(parent, own_commit_t);

	list_init(&commit->node);
	commits->count++;
	return commit;
}

void own_commits_record(own_commits_t *commits, void *parent, const struct service *service,
			const position_t *position, usec_t at)
{
	own_commit_t *commit = find(commits, service);

	if (commit == NULL)
		commit = add(commits, parent);
	list_del(&commit->node);
	list_add_tail(&commits->list, &commit->node);
	commit->service = service;
	commit->has_position = position != NULL;
	commit->position = position != NULL ? *position : (position_t){0};
	commit->at = at;
}

bool own_commits_find(const own_commits_t *commits, const struct service *service,
		      own_commit_t *commit)
{
	const own_commit_t *found = find(commits, service);

	if (found != NULL)
		*commit = *found;
	else
		*commit = (own_commit_t){.service = service, .at = commits->dropped_at};
	return found != NULL || commits->dropped_at != 0;
}
