#include "refresh.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "exchange.h"
#include "permit.h"
#include "upstream.h"

#define LOG_MODULE "refresh"
#include "log.h"

/*
 * Between two readings of the directory by the holder, which all others compare theirs with: parts
 * of the bounds within which the configuration must be in force (3 s on the users' sites) and a
 * leaving member left alone (7 s), so that a reading may fail once or twice.
 */
#define CONFIG_REFRESH_PERCENT	30
#define MEMBERS_REFRESH_PERCENT 28
/* The same, of the time within which a key that was taken must be refused. */
#define KEYS_REFRESH_PERCENT 20
/* Answers in a row that show another list of members: one may cross a change under way. */
#define MEMBERS_DIFFER_MAX 2
/* The same while a peer tells the changes: a member is told as gone 2.3 s after it went missing. */
#define FED_DIFFER_MAX 16
/*
 * What is known of the directory may be so old, in parts of the bound for the configuration, before
 * a proxy turns to the store itself. Hubs are first, so that the others need not.
 */
#define STALE_PERCENT	    30
#define STALE_BELOW_PERCENT 50
/*
 * Between two configurations that a proxy is told, in parts of the bound for it. Each of a quick
 * succession, told to hubs and by them to all, could fill slow links, on which probes of members
 * time out then.
 */
#define CONFIG_SPACING_PERCENT 15
/* A reading of the configuration has ended within this. */
#define KEYS_AHEAD (300 * USEC_PER_MSEC)
/* A reading that takes longer may fail: until it ends nothing newer is known than when it began. */
#define READING_USUAL (200 * USEC_PER_MSEC)
/* A fleet that starts has a holder within this. */
#define START_GRACE (1 * USEC_PER_SEC)
/*
 * A process of a fleet larger than this waits so long for its hub to tell it configuration and
 * members, before it reads them: all that start together would have to share the store's link.
 */
#define TOLD_FLEET  128
#define TOLD_WITHIN (4 * USEC_PER_SEC)
/* Large lists may fill our link for this part of a second, if all that ask us are told. */
#define PACKED_PART 4
/* Who was told to read from the store, and asks so long after without it, is told all of it. */
#define READING_PATIENCE (500 * USEC_PER_MSEC)
/* A list of members that was told is believed to be on its way for so long. */
#define PACKED_ON_ITS_WAY (1 * USEC_PER_SEC)

uint64_t refresh_member_digest(const member_t *member)
{
	return member->gone ? 0 : XXH64(member->id, strlen(member->id), member->leaving);
}

uint64_t refresh_members_digest(const pooler_t *pooler)
{
	/* Half of it is enough, and fits any integer of a message. */
	return pooler->members_digest >> 32;
}

/* Each reading by the holder also proves to the fleet that its keys are the newest. */
static usec_t config_interval(const pooler_t *pooler)
{
	usec_t interval = pooler->config.config_bound * CONFIG_REFRESH_PERCENT / 100;
	usec_t proving = pooler->config_validity.lifetime * KEYS_REFRESH_PERCENT / 100;

	return proving != 0 && proving < interval ? proving : interval;
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

/* --- who reads the store --- */

/* The holder knows what it watches and reads; if its readings fail, what it knew before them. */
static usec_t holder_age(const pooler_t *pooler)
{
	usec_t config;
	usec_t members;
	usec_t age;

	if (pooler->config_follow == NULL)
		return 0;
	config = follow_unanswered(pooler->config_follow);
	members = follow_unanswered(pooler->members_follow);
	age = config > members ? config : members;
	return age > READING_USUAL ? age : 0;
}

static usec_t directory_age(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (sync->holding)
		return holder_age(pooler);
	return sync->directory_at != 0 ? now - sync->directory_at : USEC_NEVER;
}

static usec_t stale_after(pooler_t *pooler)
{
	unsigned percent = upstream_applies(pooler) && !upstream_is_hub(pooler)
				   ? STALE_BELOW_PERCENT
				   : STALE_PERCENT;

	return pooler->config.config_bound * percent / 100;
}

/* True if others tell this proxy what changes. */
static bool is_told(pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (sync->holding)
		return false;
	if (pooler->config_follow == NULL)
		return sync->holder != NULL && now < sync->holder_heard + HOLDER_SILENT;
	return pooler->members_follow->held || now < pooler->started + START_GRACE ||
	       directory_age(pooler, now) < stale_after(pooler);
}

static void set_fed(pooler_t *pooler, bool fed, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (pooler->config_follow == NULL || pooler->config_follow->fed == fed)
		return;
	follow_set_fed(pooler->config_follow, fed);
	follow_set_fed(pooler->members_follow, fed);
	LOG_EVENT(LOG_INFO, fed ? "directory told by a peer" : "directory read from the store",
		  LOG_INT("holding", sync->holding),
		  LOG_INT("age_ms", sync->directory_at != 0
					    ? (int64_t)((now - sync->directory_at) / USEC_PER_MSEC)
					    : -1));
	/* Watching brings what was missed; all of it is read when a watch may have failed. */
	sync->config_due = now + config_interval(pooler);
	sync->members_due = now + members_interval(pooler);
}

/* True if a process that has just started may still be told what it would read. */
static bool waits_to_be_told(pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	bool large = sync->proxies > TOLD_FLEET;

	if (sync->last_read_ok == 0)
		return now < pooler->started + START_GRACE;
	/* Of an earlier life: the size of the fleet is known. */
	if (!large && roster_node(sync->roster, pooler->config.name) != NULL)
		return false;
	if (now >= pooler->started + TOLD_WITHIN)
		return false;
	return !permit_is_registered(pooler) ||
	       (large && !sync->holding && !upstream_is_hub(pooler));
}

static void release(pooler_t *pooler)
{
	follow_release(pooler->config_follow);
	follow_release(pooler->members_follow);
}

void refresh_begin(pooler_t *pooler, usec_t now)
{
	if (pooler->config_follow != NULL && pooler->members_follow->held &&
	    !waits_to_be_told(pooler, now))
		release(pooler);
}

void refresh_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	bool told;

	refresh_begin(pooler, now);
	told = is_told(pooler, now);
	set_fed(pooler, told, now);
	if (now >= sync->config_due &&
	    (!told || proof_wants_news(&pooler->config_validity, now + KEYS_AHEAD)))
		refresh_config(pooler, now);
	if (told)
		return;
	if (now >= sync->members_due)
		refresh_members(pooler, now);
}

/* --- between proxies --- */

/* *told: what is to be told, or NULL. */
static follow_news_t changes_since(const follow_t *follow, int64_t since, void *parent,
				   const follow_changes_t **told)
{
	follow_changes_t *changes = talloc_zero(parent, follow_changes_t);
	follow_news_t news = follow_changes(follow, since, parent, changes);

	*told = news == FOLLOW_CHANGED ? changes : NULL;
	return news;
}

usec_t refresh_config_spacing(const pooler_t *pooler)
{
	return pooler->config.config_bound * CONFIG_SPACING_PERCENT / 100;
}

/* True if all that ask this proxy can be told so much. */
static bool fits_link(const pooler_t *pooler, size_t len)
{
	const roster_node_t *self = roster_node(pooler->sync.roster, pooler->config.name);
	size_t listeners = UPSTREAM_SPAN * (self != NULL ? upstream_weight(self) : 1);

	return len * listeners <= (size_t)pooler->config.link_rate / PACKED_PART;
}

/*
 * What is lacking in one text, or NULL if the receiver is to read the store, by its own link;
 * always a text if it can't.
 */
static const char *pack(const pooler_t *pooler, follow_t *follow, int64_t since, bool cannot)
{
	const char *packed = follow_pack(follow, since);

	return packed != NULL && (cannot || fits_link(pooler, strlen(packed))) ? packed : NULL;
}

/* True if it was told to read what it lacks since then, and should have by now. */
static bool reading_is_overdue(const reading_hint_t *hint, int64_t since, usec_t now)
{
	return hint->at != 0 && hint->since == since && now >= hint->at + READING_PATIENCE;
}

static void note_hint(reading_hint_t *hint, int64_t since, usec_t now)
{
	if (hint->at == 0 || hint->since != since)
		*hint = (reading_hint_t){.at = now, .since = since};
}

/* All that the proxy lacks as one text; NULL: it is to read that, and is expected to. */
static const char *pack_or_hint(pooler_t *pooler, follow_t *follow, const peer_report_t *report,
				reading_hint_t *hint, int64_t since)
{
	usec_t now = now_of(pooler);
	const char *packed = pack(pooler, follow, since,
				  report->cut_off || reading_is_overdue(hint, since, now));

	if (packed == NULL)
		note_hint(hint, since, now);
	return packed;
}

/* The configuration, if it is time; else the receiver is told with a later answer. */
static void describe_config(pooler_t *pooler, peer_report_t *report, int64_t since,
			    peer_message_t *message, void *parent)
{
	follow_t *follow = pooler->config_follow;
	usec_t spacing = refresh_config_spacing(pooler);
	usec_t now = now_of(pooler);
	follow_news_t news;

	if (follow == NULL || pooler->routes == NULL ||
	    (report->config_told_at != 0 && now < report->config_told_at + spacing))
		return;
	news = changes_since(follow, since, parent, &message->config_changes);
	if (news == FOLLOW_TOO_MUCH) {
		message->config_packed =
			pack_or_hint(pooler, follow, report, &report->config_hint, since);
		message->read_directory = message->config_packed == NULL;
	}
	if (message->config_changes != NULL || message->config_packed != NULL)
		report->config_told_at = now;
}

static void describe_members(pooler_t *pooler, peer_report_t *report, int64_t since,
			     peer_message_t *message, void *parent)
{
	follow_t *follow = pooler->members_follow;
	usec_t now = now_of(pooler);

	if (changes_since(follow, since, parent, &message->members_changes) != FOLLOW_TOO_MUCH ||
	    (report->members_packed_at != 0 && now < report->members_packed_at + PACKED_ON_ITS_WAY))
		return;
	message->members_packed =
		pack_or_hint(pooler, follow, report, &report->members_hint, since);
	message->read_directory |= message->members_packed == NULL;
	report->members_packed_at = now;
}

void refresh_describe(pooler_t *pooler, const char *name, const peer_message_t *ask,
		      peer_message_t *message, void *parent)
{
	peer_report_t *report = exchange_get_report(pooler, name);
	int64_t config_at = ask != NULL ? ask->config_at : report->config_at;
	int64_t members_at = ask != NULL ? ask->members_at : report->members_at;

	message->directory_age = directory_age(pooler, now_of(pooler));
	message->keys_age = proof_age(&pooler->config_validity, now_of(pooler));
	/* Who is told without having asked may have no need of all of it. */
	if (ask != NULL || config_at != 0)
		describe_config(pooler, report, config_at, message, parent);
	if (pooler->members_follow != NULL && (ask != NULL || members_at != 0))
		describe_members(pooler, report, members_at, message, parent);
}

/*
 * Another proxy knows more than we do: a watch of ours missed something, or it is too much to
 * tell.
 */
static void compare(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version = pooler->routes != NULL ? pooler->routes->version : 0;
	/* Both are told by a peer, or none; see set_fed(). */
	bool fed = pooler->config_follow != NULL && pooler->config_follow->fed;
	unsigned most = fed ? FED_DIFFER_MAX : MEMBERS_DIFFER_MAX;

	if (message->config_version > version && (!fed || message->read_directory) &&
	    now + config_interval(pooler) / 2 >= sync->config_due)
		refresh_config(pooler, now);
	if (message->members_digest == refresh_members_digest(pooler))
		sync->members_differ = 0;
	else if (++sync->members_differ >= most && now >= sync->members_due)
		refresh_members(pooler, now);
}

/*
 * The sender held the newest keys when it answered, less the age of its own proof, and answered no
 * earlier than our question was sent. We hold the same, or newer ones.
 */
static void take_proof(pooler_t *pooler, const peer_message_t *message)
{
	if (pooler->routes == NULL || message->echo == 0 || message->keys_age >= message->echo ||
	    message->config_version > pooler->routes->version)
		return;
	proof_extend(&pooler->config_validity, message->echo - message->keys_age);
}

void refresh_on_state(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version;

	if (pooler->config_follow != NULL && message->config_changes != NULL)
		follow_take(pooler->config_follow, message->config_changes);
	if (pooler->members_follow != NULL && message->members_changes != NULL)
		follow_take(pooler->members_follow, message->members_changes);
	if (pooler->config_follow != NULL && message->config_packed != NULL)
		follow_open(pooler->config_follow, message->config_packed);
	if (pooler->members_follow != NULL && message->members_packed != NULL)
		follow_open(pooler->members_follow, message->members_packed);
	if (pooler->config_follow != NULL && message->read_directory)
		release(pooler);
	compare(pooler, message, now);
	take_proof(pooler, message);
	version = pooler->routes != NULL ? pooler->routes->version : 0;
	/* Only an answer says how old it is: it was given after the question was sent. */
	if (message->echo != 0 && message->directory_age < message->echo &&
	    message->config_version <= version &&
	    message->echo - message->directory_age > sync->directory_at)
		sync->directory_at = message->echo - message->directory_age;
}
