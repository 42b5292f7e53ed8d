#include "refresh.h"

#include <string.h>

#include <xxhash.h>

#include "exchange.h"

/*
 * Between two readings of the directory by the holder, which all others compare theirs with: parts
 * of the bounds within which the configuration must be in force (3 s on the users' sites) and a
 * leaving member left alone (7 s), so that a reading may fail once or twice.
 */
#define CONFIG_REFRESH_PERCENT	30
#define MEMBERS_REFRESH_PERCENT 28
/* Answers in a row that show another list of members: one may cross a change under way. */
#define MEMBERS_DIFFER_MAX 2

uint64_t refresh_members_digest(const pooler_t *pooler)
{
	uint64_t digest = 0;

	list_for_each (it, &pooler->members) {
		const member_t *member = list_entry(it, member_t, node);

		if (!member->gone)
			digest ^= XXH64(member->id, strlen(member->id), member->leaving);
	}
	/* Half of it is enough, and fits any integer of a message. */
	return digest >> 32;
}

static usec_t config_interval(const pooler_t *pooler)
{
	return pooler->config.config_bound * CONFIG_REFRESH_PERCENT / 100;
}

static usec_t members_interval(const pooler_t *pooler)
{
	return pooler->config.leaving_bound * MEMBERS_REFRESH_PERCENT / 100;
}

static void refresh_config(pooler_t *pooler, usec_t now)
{
	pooler->sync.config_due = now + config_interval(pooler);
	pooler->env->ops->refresh_config(pooler->env);
}

static void refresh_members(pooler_t *pooler, usec_t now)
{
	pooler->sync.members_due = now + members_interval(pooler);
	pooler->sync.members_differ = 0;
	pooler->env->ops->refresh_members(pooler->env);
}

/* The holder, and a proxy that does not hear it, read for themselves. */
void refresh_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding && sync->holder != NULL && now < sync->holder_heard + HOLDER_SILENT)
		return;
	if (now >= sync->config_due)
		refresh_config(pooler, now);
	if (now >= sync->members_due)
		refresh_members(pooler, now);
}

/* Another proxy knows more than we do: a watch of ours missed something. */
void refresh_compare(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version = pooler->routes != NULL ? pooler->routes->version : 0;

	if (message->config_version > version &&
	    now + config_interval(pooler) / 2 >= sync->config_due)
		refresh_config(pooler, now);
	if (message->members_digest == refresh_members_digest(pooler))
		sync->members_differ = 0;
	else if (++sync->members_differ >= MEMBERS_DIFFER_MAX && now >= sync->members_due)
		refresh_members(pooler, now);
}
