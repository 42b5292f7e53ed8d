#include "join.h"

#include <string.h>

#include <talloc.h>

#include "ask.h"
#include "exchange.h"
#include "leader.h"
#include "permit.h"
#include "restore.h"
#include "sync.h"
#include "upstream.h"

#define LOG_MODULE "join"
#include "counter.h"
#include "log.h"

/*
 * Time within which the proxy that was asked must add us; then we write our own entry. The time
 * covers that proxy's write in flight, its next write and the messages. With a slow store adding
 * takes longer.
 */
#define ADD_TIMEOUT (150 * USEC_PER_MSEC)
/*
 * The same time for each proxy of a larger fleet, since all may start together. If 100 proxies
 * stopped waiting for the leader after 150 ms, each would write the whole roster (50 KB) by itself,
 * and most of these writes, the leader's too, would conflict.
 */
#define ADD_TIMEOUT_PER_PROXY (5 * USEC_PER_MSEC)

/*
 * Fleets up to this size ask the leader directly, which saves establishing two links. In a larger
 * fleet the leader's links would take more memory than a small VM has.
 */
#define DIRECT_JOIN_FLEET_MAX 128
/* Even a hub that has itself just started answers within this time. */
#define HUB_ANSWER_TIMEOUT (500 * USEC_PER_MSEC)
/*
 * Number of proxies that a proxy of a large fleet asks, one after the other, before its own write.
 */
#define JOIN_REQUESTS_MAX 3
/*
 * Time after which a message that lacked a link is sent again. A link takes 5 to 30 ms, so waiting
 * for the next tick would delay most starts by 50 ms.
 */
#define LINK_RETRY_INTERVAL (15 * USEC_PER_MSEC)
/* A link to a live proxy is established within this time. */
#define LINK_TIMEOUT (150 * USEC_PER_MSEC)

COUNTER_DEFINE(added_total, "proxies_added_total", COUNTER_SUM,
	       "Proxies that this proxy has added to the roster at their request.");

/* A proxy that has asked to be added. */
typedef struct joiner {
	list_t node; /* in sync_t.joiners */
	char *name;
	char *address;
	char *zone;
	int64_t capacity;
	uint64_t incarnation;
	int64_t revision; /* of the roster that the proxy holds */
	usec_t requested_at;
	usec_t send_not_before; /* next attempt to send the roster */
	usec_t send_backoff;	/* until the attempt after that; 0: there was none */
	bool send_roster; /* this proxy sends it the roster; otherwise its hub does, or it reads the
			     store again */
} joiner_t;

static bool joins_through_hubs(const pooler_t *pooler)
{
	return pooler->sync.proxy_count > DIRECT_JOIN_FLEET_MAX;
}

static usec_t add_timeout(const pooler_t *pooler)
{
	usec_t all = pooler->sync.proxy_count * ADD_TIMEOUT_PER_PROXY;

	return all > ADD_TIMEOUT ? all : ADD_TIMEOUT;
}

static void on_retry(run_timer_t *timer, usec_t now)
{
	join_run(list_entry(timer, pooler_t, join_timer), now);
}

/* Repeats a message that lacked a link. */
static void retry_soon(pooler_t *pooler, usec_t now)
{
	if (!timer_is_armed(&pooler->join_timer))
		timers_arm(pooler->timers, &pooler->join_timer, now + LINK_RETRY_INTERVAL,
			   on_retry);
}

/* --- own entry --- */

static bool is_registered(const roster_t *roster, const joiner_t *joiner)
{
	const roster_node_t *node = roster_find_node(roster, joiner->name);

	return node != NULL && !node->gone && node->incarnation >= joiner->incarnation;
}

/* Adds the joiners that are not on the roster; false if there are none. */
static bool add_joiners(const pooler_t *pooler, roster_t *roster)
{
	bool any = false;

	list_for_each (it, &pooler->sync.joiners) {
		const joiner_t *joiner = list_entry(it, joiner_t, node);

		if (is_registered(roster, joiner))
			continue;
		roster_put_node(roster, joiner->name, joiner->address, joiner->zone,
				joiner->incarnation)
			->capacity = joiner->capacity;
		any = true;
	}
	return any;
}

static void drop_joiner(sync_t *sync, joiner_t *joiner)
{
	sync->joiner_count--;
	list_del(&joiner->node);
	talloc_free(joiner);
}

/* Sends the roster to the joiner; without a link it is sent again soon, ever less often. */
static bool send_roster(pooler_t *pooler, joiner_t *joiner, usec_t now)
{
	if (now >= joiner->send_not_before) {
		if (exchange_send_state(pooler, joiner->name, joiner->address))
			return true;
		joiner->send_backoff =
			joiner->send_backoff != 0 ? 2 * joiner->send_backoff : LINK_RETRY_INTERVAL;
		joiner->send_not_before = now + joiner->send_backoff;
	}
	retry_soon(pooler, now);
	return false;
}

/* Sends the roster to the joiners that are on it now. */
static void notify_added(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	const roster_t *roster = sync->roster;

	list_for_each_safe (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (!is_registered(roster, joiner))
			continue;
		if (joiner->send_roster && !send_roster(pooler, joiner, now_of(pooler)))
			continue;
		counter_add(&added_total, 1);
		drop_joiner(sync, joiner);
	}
}

static void on_registered(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->registering = false;
	sync->join_started_at = 0;
	sync->join_requests = 0;
	sync->join_conflict = result->status == KV_CONFLICT;
	/*
	 * The proxy that made the other write is certainly alive, while the leader may not be, so
	 * that proxy is asked first.
	 */
	sync->join_requested = sync->join_conflict;
	if (result->status == KV_OK) {
		notify_added(pooler);
		LOG_EVENT(LOG_INFO, "registered on the roster",
			  LOG_INT("roster", sync->roster->revision));
	} else if (sync->join_conflict)
		join_run(pooler, now_of(pooler));
}

/*
 * Incarnations are made from the time of day, which may have stepped back since this proxy's
 * previous process. The other proxies would then treat our messages as late messages of that
 * process, and our entry as one whose process has ended.
 */
static void raise_incarnation(pooler_t *pooler)
{
	const roster_node_t *entry = roster_find_node(pooler->sync.roster, pooler->config.name);

	if (entry != NULL && entry->incarnation > pooler->config.incarnation)
		pooler->config.incarnation = entry->incarnation + 1;
}

/*
 * Writes our own entry, together with the joiners that have asked us meanwhile: in a fleet that
 * restarts, all proxies ask the previous leader, which has just started like them.
 */
static void write_own_entry(pooler_t *pooler)
{
	roster_t *roster;

	pooler->sync.registering = true;
	raise_incarnation(pooler);
	roster = roster_copy(NULL, pooler->sync.roster);
	roster_put_node(roster, pooler->config.name, pooler->config.address, pooler->config.zone,
			pooler->config.incarnation)
		->capacity = pooler->config.capacity;
	add_joiners(pooler, roster);
	sync_commit_roster(pooler, roster, on_registered, pooler);
	talloc_free(roster);
}

static bool is_other(const pooler_t *pooler, const char *name)
{
	return name != NULL && strcmp(name, pooler->config.name) != 0;
}

/* Returns the proxy whose write our own conflicted with; NULL: there is none, or it is gone. */
static const roster_node_t *find_writer(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *writer;

	if (!sync->join_conflict || !is_other(pooler, sync->roster->writer))
		return NULL;
	writer = roster_find_node(sync->roster, sync->roster->writer);
	return writer != NULL && !writer->gone ? writer : NULL;
}

/*
 * True if the store last named this proxy as the leader: all others ask us, so we write our own
 * entry first.
 */
static bool was_leader(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;

	return sync->former_lease != 0 || (sync->leader != NULL && !is_other(pooler, sync->leader));
}

/*
 * Finds a proxy that can add us: the leader, a hub that forwards the request, or, after a conflict
 * of our own write, the proxy that made the other one. False if there is none.
 */
static bool find_join_target(pooler_t *pooler, usec_t now, const char **name, const char **address)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *writer;

	*name = sync->leader;
	*address = sync->leader_address;
	if (!sync->join_requested && !was_leader(pooler) &&
	    (joins_through_hubs(pooler) ? upstream_find(pooler, now, name, address)
					: is_other(pooler, sync->leader)))
		return true;
	writer = find_writer(pooler);
	if (writer == NULL)
		return false;
	*name = writer->name;
	*address = writer->address;
	return true;
}

/*
 * Asks another proxy to add us; false if there is none to ask. A fleet of 24 proxies that started
 * together made 34 writes when each tried its own first, and most of them conflicted.
 */
static bool request_join(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	const char *name;
	const char *address;
	bool sent;

	if (!find_join_target(pooler, now, &name, &address))
		return false;
	raise_incarnation(pooler);
	sent = ask_send_query(pooler, name, address);
	/* The first message only establishes the link; it is sent again soon. */
	if (!sent && now < sync->join_started_at + LINK_TIMEOUT) {
		retry_soon(pooler, now);
		return true;
	}
	sync->join_requested = true;
	sync->join_conflict = false;
	sync->join_target_answered = false;
	/* A proxy without a link, such as a leader that has not started yet, is not waited for. */
	sync->join_requested_at = sent ? now : 0;
	sync->join_requests++;
	talloc_free(sync->join_target);
	sync->join_target = talloc_strdup(pooler, name);
	/* In a large fleet another hub is asked next. */
	return sent || joins_through_hubs(pooler);
}

/*
 * True if the proxy that was asked may still add us. In a large fleet this takes longer, but we
 * wait longer only for a proxy that has answered: after a power failure the proxy may be a previous
 * leader that has not restarted.
 */
static bool join_is_pending(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t silence = joins_through_hubs(pooler) ? HUB_ANSWER_TIMEOUT : ADD_TIMEOUT;

	return sync->join_requested &&
	       now < sync->join_requested_at +
			       (sync->join_target_answered ? add_timeout(pooler) : silence);
}

/*
 * Allows a request to another proxy when the last one has not answered. This is done only in a
 * large fleet, where the first proxy may not have restarted after a power failure, and where
 * writing our own entry means writing a large roster.
 */
static void reset_join_target(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->join_requested || !joins_through_hubs(pooler) ||
	    sync->join_requests >= JOIN_REQUESTS_MAX)
		return;
	/* NULL: our own write conflicted, and no proxy was asked before it. */
	if (sync->join_target != NULL)
		upstream_avoid_hub(pooler, sync->join_target, now);
	sync->join_requested = false;
	sync->join_started_at = now;
}

/* Joins the roster, since a proxy that is not on it may use no primary. */
static void register_self(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (sync->registering || sync->reading || sync->confirmed_at == USEC_NEVER ||
	    restore_is_pending(pooler) || pooler->draining || permit_is_registered(pooler) ||
	    join_is_pending(pooler, now))
		return;
	if (sync->join_started_at == 0)
		sync->join_started_at = now;
	reset_join_target(pooler, now);
	if (!request_join(pooler, now))
		write_own_entry(pooler);
}

/* --- joiners --- */

static joiner_t *find_joiner(const sync_t *sync, const char *name)
{
	list_for_each (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (strcmp(joiner->name, name) == 0)
			return joiner;
	}
	return NULL;
}

/* Records a joiner; false if it is on the roster already. */
static bool record_joiner(pooler_t *pooler, const peer_message_t *message, bool send_roster)
{
	sync_t *sync = &pooler->sync;
	const roster_node_t *node = roster_find_node(pooler->sync.roster, message->from);
	joiner_t *joiner;

	if (pooler->draining || message->zone == NULL ||
	    (node != NULL && !node->gone && node->incarnation >= message->incarnation))
		return false;
	joiner = find_joiner(sync, message->from);
	if (joiner != NULL)
		drop_joiner(sync, joiner);
	joiner = talloc_zero(pooler, joiner_t);
	joiner->name = talloc_strdup(joiner, message->from);
	joiner->address = talloc_strdup(joiner, message->address);
	joiner->zone = talloc_strdup(joiner, message->zone);
	joiner->capacity = message->capacity;
	joiner->incarnation = message->incarnation;
	joiner->revision = message->revision;
	joiner->requested_at = now_of(pooler);
	joiner->send_roster = send_roster;
	list_add_tail(&sync->joiners, &joiner->node);
	sync->joiner_count++;
	return true;
}

/* True if this proxy forwards its joiners to the leader. */
static bool forwards_joiners(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return joins_through_hubs(pooler) && !leader_is_self(pooler, now) &&
	       is_other(pooler, sync->leader) && now < sync->leader_seen_at + LEADER_SILENT_AFTER;
}

/*
 * True if so many proxies have asked, as in the first start of a large fleet, that a link back to
 * each of them would take more memory than a small VM has. They receive the roster when they
 * read the store again.
 */
static bool has_many_joiners(const pooler_t *pooler)
{
	return pooler->sync.joiner_count >= DIRECT_JOIN_FLEET_MAX;
}

bool join_can_answer(const pooler_t *pooler, const char *name)
{
	return !has_many_joiners(pooler) || roster_find_node(pooler->sync.roster, name) != NULL;
}

void join_on_query(pooler_t *pooler, const peer_message_t *message)
{
	usec_t now = now_of(pooler);

	if (!record_joiner(pooler, message, !has_many_joiners(pooler)))
		return;
	if (forwards_joiners(pooler, now))
		pooler->sync.query_next = 0;
	join_run(pooler, now);
}

void join_on_state(pooler_t *pooler, const char *from)
{
	sync_t *sync = &pooler->sync;

	sync->join_target_answered |=
		sync->join_target != NULL && strcmp(sync->join_target, from) == 0;
}

void join_on_report(pooler_t *pooler, const peer_message_t *report)
{
	if (report->address != NULL && leader_is_self(pooler, now_of(pooler)) &&
	    record_joiner(pooler, report, false))
		join_run(pooler, now_of(pooler));
}

size_t join_pending_count(const pooler_t *pooler)
{
	return pooler->sync.joiner_count;
}

size_t join_fill_reports(const pooler_t *pooler, peer_message_t *reports)
{
	size_t count = 0;

	list_for_each (it, &pooler->sync.joiners) {
		const joiner_t *joiner = list_entry(it, joiner_t, node);

		reports[count++] = (peer_message_t){
			.from = joiner->name,
			.address = joiner->address,
			.zone = joiner->zone,
			.capacity = joiner->capacity,
			.incarnation = joiner->incarnation,
			.revision = joiner->revision,
			.report_age = now_of(pooler) - joiner->requested_at,
		};
	}
	return count;
}

static void on_added(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	pooler->sync.adding_joiners = false;
	notify_added(pooler);
	/*
	 * After a conflict the joiners are added again on top of the other write. If the write
	 * failed for another reason, they are dropped and write their own entries.
	 */
	if (result->status == KV_CONFLICT)
		join_run(pooler, now_of(pooler));
	if (result->status == KV_OK || result->status == KV_CONFLICT)
		return;
	list_for_each_safe (it, &pooler->sync.joiners)
		drop_joiner(&pooler->sync, list_entry(it, joiner_t, node));
}

/*
 * Drops joiners after add_timeout(), when they write their own entries. A joiner that has died
 * could never be reached, and would be added again each time it is declared gone.
 */
static void drop_old_joiners(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	list_for_each_safe (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (now >= joiner->requested_at + add_timeout(pooler))
			drop_joiner(sync, joiner);
	}
}

static void write_joiners(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (sync->adding_joiners || list_empty(&sync->joiners) || !permit_is_registered(pooler) ||
	    restore_is_pending(pooler))
		return;
	if (forwards_joiners(pooler, now)) {
		notify_added(pooler);
		return;
	}
	roster = roster_copy(NULL, sync->roster);
	if (!add_joiners(pooler, roster)) {
		talloc_free(roster);
		notify_added(pooler);
		return;
	}
	sync->adding_joiners = true;
	sync_commit_roster(pooler, roster, on_added, pooler);
	talloc_free(roster);
}

void join_run(pooler_t *pooler, usec_t now)
{
	register_self(pooler, now);
	drop_old_joiners(pooler, now);
	write_joiners(pooler, now);
}
