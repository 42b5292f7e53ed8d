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
 * Intervals between the leader's full reads of the directory, with which all other proxies compare
 * theirs, in percent of two bounds: the time within which a configuration must be in force (such as
 * 3 s), and the time within which a leaving member must no longer be used (such as 7 s). One or two
 * reads may fail within a bound.
 */
#define CONFIG_REFRESH_PERCENT	30
#define MEMBERS_REFRESH_PERCENT 28
/* The same for keys, in percent of the time within which a revoked key must be refused. */
#define KEYS_REFRESH_PERCENT 20
/*
 * Number of consecutive states with another list of members after which the members are read again:
 * a single state may only differ because a change is still in flight to one of the proxies.
 */
#define MEMBERS_MISMATCHES_MAX 2
/*
 * The same while a peer sends the changes: a member is reported as removed only 2.3 s after it went
 * missing.
 */
#define FROM_PEER_MISMATCHES_MAX 16
/*
 * Age of the directory at which a proxy reads the store itself, in percent of the bound for the
 * configuration. Hubs reach it first, so that their downstream proxies need not read.
 */
#define STALE_PERCENT		 30
#define STALE_DOWNSTREAM_PERCENT 50
/*
 * Least time between two configurations sent to a proxy, in percent of the bound for the
 * configuration. A quick succession of configurations, sent to the hubs and by them to all proxies,
 * could fill slow links, and the probes of members on these links would time out.
 */
#define CONFIG_SEND_PERCENT 15
/*
 * A read of the configuration ends within this time, so it is started this long before the keys
 * expire.
 */
#define CONFIG_READ_TIME (300 * USEC_PER_MSEC)
/*
 * A read that takes longer may fail, so the directory is then only as current as when the read
 * began.
 */
#define READ_USUAL_TIME (200 * USEC_PER_MSEC)
/* A fleet that starts has a leader within this time. */
#define START_GRACE (1 * USEC_PER_SEC)
/*
 * In a fleet larger than this a process that starts waits up to HUB_WAIT_TIME for its hub to send
 * configuration and members before it reads them, since all processes that start together would
 * share the store's link.
 */
#define HUB_WAIT_FLEET_MIN 128
#define HUB_WAIT_TIME	   (4 * USEC_PER_SEC)
/*
 * Large texts may take this fraction (1 / n) of our link for one second when they are sent to all
 * downstream proxies.
 */
#define LINK_SHARE_DIVISOR 4
/*
 * A proxy that was asked to read from the store and still lacks the data after this time is sent
 * all of it.
 */
#define READ_HINT_TIMEOUT (500 * USEC_PER_MSEC)
/* A list of members that was sent counts as in flight for this time. */
#define MEMBERS_IN_FLIGHT_TIME (1 * USEC_PER_SEC)

uint64_t refresh_member_digest(const member_t *member)
{
	return member->unlisted ? 0 : XXH64(member->id, strlen(member->id), member->leaving);
}

uint64_t refresh_members_digest(const pooler_t *pooler)
{
	/* Half of the digest is enough and fits any integer type of the message encoding. */
	return pooler->members_digest >> 32;
}

/* Each read by the leader also confirms to the fleet that its keys are current. */
static usec_t config_read_interval(const pooler_t *pooler)
{
	usec_t interval = pooler->config.config_bound * CONFIG_REFRESH_PERCENT / 100;
	usec_t confirm_interval = pooler->config_validity.max_age * KEYS_REFRESH_PERCENT / 100;

	return confirm_interval != 0 && confirm_interval < interval ? confirm_interval : interval;
}

static usec_t members_read_interval(const pooler_t *pooler)
{
	return pooler->config.leaving_bound * MEMBERS_REFRESH_PERCENT / 100;
}

static void refresh_config(pooler_t *pooler, usec_t now)
{
	pooler->sync.config_read_due = now + config_read_interval(pooler);
	pooler->env->ops->refresh_config(pooler->env);
}

static void refresh_members(pooler_t *pooler, usec_t now)
{
	pooler->sync.members_read_due = now + members_read_interval(pooler);
	pooler->sync.members_mismatches = 0;
	pooler->env->ops->refresh_members(pooler->env);
}

/* --- choice between the store and a peer --- */

/*
 * The leader's directory is current as long as its reads are answered; otherwise it is as old as
 * the first read without an answer.
 */
static usec_t get_leader_directory_age(const pooler_t *pooler)
{
	usec_t config;
	usec_t members;
	usec_t age;

	if (pooler->config_follow == NULL)
		return 0;
	config = follow_unanswered_time(pooler->config_follow);
	members = follow_unanswered_time(pooler->members_follow);
	age = config > members ? config : members;
	return age > READ_USUAL_TIME ? age : 0;
}

static usec_t get_directory_age(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (sync->leading)
		return get_leader_directory_age(pooler);
	return sync->directory_as_of != 0 ? now - sync->directory_as_of : USEC_NEVER;
}

static usec_t stale_age(pooler_t *pooler)
{
	unsigned percent = upstream_uses_hubs(pooler) && !upstream_is_hub(pooler)
				   ? STALE_DOWNSTREAM_PERCENT
				   : STALE_PERCENT;

	return pooler->config.config_bound * percent / 100;
}

/* True if other proxies send the changes to this one. */
static bool receives_from_peer(pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	if (sync->leading)
		return false;
	if (pooler->config_follow == NULL)
		return sync->leader != NULL && now < sync->leader_seen_at + LEADER_SILENT_AFTER;
	return pooler->members_follow->read_deferred || now < pooler->started + START_GRACE ||
	       get_directory_age(pooler, now) < stale_age(pooler);
}

static void set_directory_source(pooler_t *pooler, bool from_peer, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (pooler->config_follow == NULL || pooler->config_follow->from_peer == from_peer)
		return;
	follow_set_from_peer(pooler->config_follow, from_peer);
	follow_set_from_peer(pooler->members_follow, from_peer);
	LOG_EVENT(
		LOG_INFO,
		from_peer ? "directory updates come from a peer"
			  : "directory updates come from the store",
		LOG_INT("holding", sync->leading),
		LOG_INT("age_ms", sync->directory_as_of != 0
					  ? (int64_t)((now - sync->directory_as_of) / USEC_PER_MSEC)
					  : -1));
	/*
	 * The watch brings the changes that were missed. Full reads follow at their usual interval,
	 * in case the watch misses something.
	 */
	sync->config_read_due = now + config_read_interval(pooler);
	sync->members_read_due = now + members_read_interval(pooler);
}

/*
 * True if a process that has just started may still receive the directory from a peer instead of
 * reading it.
 */
static bool should_wait_for_hub(pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	bool large = sync->proxy_count > HUB_WAIT_FLEET_MIN;

	if (sync->last_read_at == 0)
		return now < pooler->started + START_GRACE;
	/* The roster lists an earlier process of this proxy, so it shows the fleet's size. */
	if (!large && roster_find_node(sync->roster, pooler->config.name) != NULL)
		return false;
	if (now >= pooler->started + HUB_WAIT_TIME)
		return false;
	return !permit_is_registered(pooler) ||
	       (large && !sync->leading && !upstream_is_hub(pooler));
}

static void start_deferred_reads(pooler_t *pooler)
{
	follow_start_deferred(pooler->config_follow);
	follow_start_deferred(pooler->members_follow);
}

void refresh_start_reading(pooler_t *pooler, usec_t now)
{
	if (pooler->config_follow != NULL && pooler->members_follow->read_deferred &&
	    !should_wait_for_hub(pooler, now))
		start_deferred_reads(pooler);
}

void refresh_tick(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	bool from_peer;

	refresh_start_reading(pooler, now);
	from_peer = receives_from_peer(pooler, now);
	set_directory_source(pooler, from_peer, now);
	if (now >= sync->config_read_due &&
	    (!from_peer || cache_needs_refresh(&pooler->config_validity, now + CONFIG_READ_TIME)))
		refresh_config(pooler, now);
	if (from_peer)
		return;
	if (now >= sync->members_read_due)
		refresh_members(pooler, now);
}

/* --- between proxies --- */

/* Sets *out to the changes to send, or NULL. */
static follow_changes_status_t collect_changes(const follow_t *follow, int64_t since, void *parent,
					       const follow_changes_t **out)
{
	follow_changes_t *changes = talloc_zero(parent, follow_changes_t);
	follow_changes_status_t status = follow_collect_changes(follow, since, parent, changes);

	*out = status == FOLLOW_HAS_CHANGES ? changes : NULL;
	return status;
}

usec_t refresh_config_send_interval(const pooler_t *pooler)
{
	return pooler->config.config_bound * CONFIG_SEND_PERCENT / 100;
}

/* True if a text of this length can be sent to all downstream proxies of this one. */
static bool fits_link_share(const pooler_t *pooler, size_t len)
{
	const roster_node_t *self = roster_find_node(pooler->sync.roster, pooler->config.name);
	size_t downstream =
		UPSTREAM_PROXIES_PER_WEIGHT * (self != NULL ? upstream_weight(self) : 1);

	return len * downstream <= (size_t)pooler->config.link_rate / LINK_SHARE_DIVISOR;
}

/*
 * The changes as one text, or NULL if the receiver is to read the store over its own link; always a
 * text if the receiver cannot read it.
 */
static const char *pack_within_share(const pooler_t *pooler, follow_t *follow, int64_t since,
				     bool must_pack)
{
	const char *packed = follow_pack_changes(follow, since);

	return packed != NULL && (must_pack || fits_link_share(pooler, strlen(packed))) ? packed
											: NULL;
}

/*
 * True if the proxy was asked to read its changes since that revision, and should have read them by
 * now.
 */
static bool read_is_overdue(const read_hint_t *hint, int64_t since, usec_t now)
{
	return hint->first_sent_at != 0 && hint->as_of == since &&
	       now >= hint->first_sent_at + READ_HINT_TIMEOUT;
}

static void record_hint(read_hint_t *hint, int64_t since, usec_t now)
{
	if (hint->first_sent_at == 0 || hint->as_of != since)
		*hint = (read_hint_t){.first_sent_at = now, .as_of = since};
}

/*
 * The changes that the proxy lacks as one text; NULL: the proxy is to read them, and this is
 * recorded in hint.
 */
static const char *pack_or_hint(pooler_t *pooler, follow_t *follow, const peer_report_t *report,
				read_hint_t *hint, int64_t since)
{
	usec_t now = now_of(pooler);
	const char *packed = pack_within_share(
		pooler, follow, since, report->cut_off || read_is_overdue(hint, since, now));

	if (packed == NULL)
		record_hint(hint, since, now);
	return packed;
}

/*
 * Adds the configuration if refresh_config_send_interval() has passed; else the receiver gets it
 * with a later state.
 */
static void fill_config(pooler_t *pooler, peer_report_t *report, int64_t since,
			peer_message_t *message, void *parent)
{
	follow_t *follow = pooler->config_follow;
	usec_t interval = refresh_config_send_interval(pooler);
	usec_t now = now_of(pooler);
	follow_changes_status_t status;

	if (follow == NULL || pooler->routes == NULL ||
	    (report->config_sent_at != 0 && now < report->config_sent_at + interval))
		return;
	status = collect_changes(follow, since, parent, &message->config_changes);
	if (status == FOLLOW_CHANGES_TOO_LARGE) {
		message->config_packed =
			pack_or_hint(pooler, follow, report, &report->config_hint, since);
		message->read_directory = message->config_packed == NULL;
	}
	if (message->config_changes != NULL || message->config_packed != NULL)
		report->config_sent_at = now;
}

static void fill_members(pooler_t *pooler, peer_report_t *report, int64_t since,
			 peer_message_t *message, void *parent)
{
	follow_t *follow = pooler->members_follow;
	usec_t now = now_of(pooler);

	if (collect_changes(follow, since, parent, &message->members_changes) !=
		    FOLLOW_CHANGES_TOO_LARGE ||
	    (report->members_sent_at != 0 &&
	     now < report->members_sent_at + MEMBERS_IN_FLIGHT_TIME))
		return;
	message->members_packed =
		pack_or_hint(pooler, follow, report, &report->members_hint, since);
	message->read_directory |= message->members_packed == NULL;
	report->members_sent_at = now;
}

void refresh_fill_state(pooler_t *pooler, const char *name, const peer_message_t *query,
			peer_message_t *message, void *parent)
{
	peer_report_t *report = exchange_get_report(pooler, name);
	int64_t config_as_of = query != NULL ? query->config_as_of : report->config_as_of;
	int64_t members_as_of = query != NULL ? query->members_as_of : report->members_as_of;

	message->directory_age = get_directory_age(pooler, now_of(pooler));
	message->keys_confirmed_age = cache_validity_age(&pooler->config_validity, now_of(pooler));
	/*
	 * A proxy that is sent a state without a query may not need the whole directory, so nothing
	 * is sent while the revision that it has is unknown.
	 */
	if (query != NULL || config_as_of != 0)
		fill_config(pooler, report, config_as_of, message, parent);
	if (pooler->members_follow != NULL && (query != NULL || members_as_of != 0))
		fill_members(pooler, report, members_as_of, message, parent);
}

/*
 * Another proxy has a newer directory: a watch of ours missed something, or the changes are too
 * large to be sent.
 */
static void read_on_mismatch(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version = pooler->routes != NULL ? pooler->routes->version : 0;
	/* Configuration and members have the same source; see set_directory_source(). */
	bool from_peer = pooler->config_follow != NULL && pooler->config_follow->from_peer;
	unsigned max_mismatches = from_peer ? FROM_PEER_MISMATCHES_MAX : MEMBERS_MISMATCHES_MAX;

	if (message->config_version > version && (!from_peer || message->read_directory) &&
	    now + config_read_interval(pooler) / 2 >= sync->config_read_due)
		refresh_config(pooler, now);
	if (message->members_digest == refresh_members_digest(pooler))
		sync->members_mismatches = 0;
	else if (++sync->members_mismatches >= max_mismatches && now >= sync->members_read_due)
		refresh_members(pooler, now);
}

/*
 * The sender's keys were current when it answered, less the age of its own confirmation, and it
 * answered no earlier than our query was sent. We hold the same configuration or a newer one, so
 * our keys were current at that time too.
 */
static void extend_validity(pooler_t *pooler, const peer_message_t *message)
{
	if (pooler->routes == NULL || message->echo == 0 ||
	    message->keys_confirmed_age >= message->echo ||
	    message->config_version > pooler->routes->version)
		return;
	cache_validity_confirm(&pooler->config_validity,
			       message->echo - message->keys_confirmed_age);
}

void refresh_on_state(pooler_t *pooler, const peer_message_t *message, usec_t now)
{
	sync_t *sync = &pooler->sync;
	int64_t version;

	if (pooler->config_follow != NULL && message->config_changes != NULL)
		follow_apply_changes(pooler->config_follow, message->config_changes);
	if (pooler->members_follow != NULL && message->members_changes != NULL)
		follow_apply_changes(pooler->members_follow, message->members_changes);
	if (pooler->config_follow != NULL && message->config_packed != NULL)
		follow_apply_packed(pooler->config_follow, message->config_packed);
	if (pooler->members_follow != NULL && message->members_packed != NULL)
		follow_apply_packed(pooler->members_follow, message->members_packed);
	if (pooler->config_follow != NULL && message->read_directory)
		start_deferred_reads(pooler);
	read_on_mismatch(pooler, message, now);
	extend_validity(pooler, message);
	version = pooler->routes != NULL ? pooler->routes->version : 0;
	/*
	 * Only the answer to a query bounds the directory's age, since it was sent after the query.
	 */
	if (message->echo != 0 && message->directory_age < message->echo &&
	    message->config_version <= version &&
	    message->echo - message->directory_age > sync->directory_as_of)
		sync->directory_as_of = message->echo - message->directory_age;
}
