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
 * Whoever was asked adds us within this, or we try again ourselves: its write under way, the next
 * one, and the ways; more when the store is slow.
 */
#define ADDED_WITHIN (150 * USEC_PER_MSEC)
/*
 * The same for each proxy of a larger fleet, since all may start together. If 100 of them gave up
 * on the holder after 150 ms, each would write the whole roster (50 KB) by itself, and most of
 * these writes, the holder's too, would conflict.
 */
#define ADDED_WITHIN_EACH (5 * USEC_PER_MSEC)

/*
 * Up to so many proxies ask the holder themselves, which is quicker by two links that must be made.
 * With more its links to them would take more memory than a small VM has.
 */
#define DIRECT_FLEET 128
/* A hub that has just started itself answers within this. */
#define HUB_ANSWERS (500 * USEC_PER_MSEC)
/* Proxies of a large fleet that are asked, one after the other, before the own write. */
#define ADDERS_ASKED 3
/* A link to a proxy that lives is there within this. */
#define LINK_WITHIN (150 * USEC_PER_MSEC)

COUNTER_DEFINE(added_total, "proxies_added_total", COUNTER_SUM,
	       "Proxies that this one has put on the roster since they asked.");

/* A proxy that wants to be added. */
typedef struct joiner {
	list_t node; /* in sync_t.joiners */
	char *name;
	char *address;
	char *zone;
	int64_t capacity;
	uint64_t incarnation;
	int64_t revision; /* of the roster that it held */
	usec_t asked_at;
	bool told; /* by us, else by its hub, or it reads the store again */
} joiner_t;

static bool goes_by_hubs(const pooler_t *pooler)
{
	return pooler->sync.proxies > DIRECT_FLEET;
}

static usec_t added_within(const pooler_t *pooler)
{
	usec_t all = pooler->sync.proxies * ADDED_WITHIN_EACH;

	return all > ADDED_WITHIN ? all : ADDED_WITHIN;
}

/* --- our own entry --- */

static bool is_on(const roster_t *roster, const joiner_t *joiner)
{
	const roster_node_t *node = roster_node(roster, joiner->name);

	return node != NULL && !node->gone && node->incarnation >= joiner->incarnation;
}

/* False if there is none that is not on it. */
static bool put_joiners(const pooler_t *pooler, roster_t *roster)
{
	bool any = false;

	list_for_each (it, &pooler->sync.joiners) {
		const joiner_t *joiner = list_entry(it, joiner_t, node);

		if (is_on(roster, joiner))
			continue;
		roster_put_node(roster, joiner->name, joiner->address, joiner->zone,
				joiner->incarnation)
			->capacity = joiner->capacity;
		any = true;
	}
	return any;
}

static void forget(sync_t *sync, joiner_t *joiner)
{
	sync->joiner_count--;
	list_del(&joiner->node);
	talloc_free(joiner);
}

/* Tell those that are on the roster now. */
static void tell_added(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	const roster_t *roster = sync->roster;

	list_for_each_safe (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (!is_on(roster, joiner))
			continue;
		/* Without a link to it yet, once more with the next tick. */
		if (joiner->told && !exchange_tell(pooler, joiner->name, joiner->address))
			continue;
		counter_add(&added_total, 1);
		forget(sync, joiner);
	}
}

static void on_registered(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->registering = false;
	sync->join_began = 0;
	sync->join_tries = 0;
	sync->join_failed = result->status == KV_CONFLICT;
	/* Whoever made the other write lives, which the holder has not shown. */
	sync->join_asked = sync->join_failed;
	if (result->status == KV_OK) {
		tell_added(pooler);
		LOG_EVENT(LOG_INFO, "on the roster", LOG_INT("roster", sync->roster->revision));
	} else if (sync->join_failed)
		join_run(pooler, now_of(pooler));
}

/*
 * Incarnations come from the time of day, which may have stepped back since our last life. The
 * others would take our messages for late ones of that life, and our entry for one without a
 * process.
 */
static void outgrow_last_life(pooler_t *pooler)
{
	const roster_node_t *entry = roster_node(pooler->sync.roster, pooler->config.name);

	if (entry != NULL && entry->incarnation > pooler->config.incarnation)
		pooler->config.incarnation = entry->incarnation + 1;
}

/*
 * With those that have asked us before we were on the roster ourselves: a fleet that starts again
 * asks the holder of before, which has just started like all others.
 */
static void write_own_entry(pooler_t *pooler)
{
	roster_t *roster;

	pooler->sync.registering = true;
	outgrow_last_life(pooler);
	roster = roster_copy(NULL, pooler->sync.roster);
	roster_put_node(roster, pooler->config.name, pooler->config.address, pooler->config.zone,
			pooler->config.incarnation)
		->capacity = pooler->config.capacity;
	put_joiners(pooler, roster);
	sync_commit(pooler, roster, on_registered, pooler);
	talloc_free(roster);
}

static bool is_other(const pooler_t *pooler, const char *name)
{
	return name != NULL && strcmp(name, pooler->config.name) != 0;
}

/* Who wrote the roster when our own write met another one; NULL: nobody else did. */
static const roster_node_t *find_writer(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *writer;

	if (!sync->join_failed || !is_other(pooler, sync->roster->writer))
		return NULL;
	writer = roster_node(sync->roster, sync->roster->writer);
	return writer != NULL && !writer->gone ? writer : NULL;
}

/* Everybody asks us, by what the store said before; so our own entry comes first. */
static bool was_holder(const pooler_t *pooler)
{
	const sync_t *sync = &pooler->sync;

	return sync->former_lease != 0 || (sync->holder != NULL && !is_other(pooler, sync->holder));
}

/*
 * Who can add us: the holder of the duty, a hub that passes it on, or, when our own write met
 * another one, whoever made that. False if there is nobody.
 */
static bool find_adder(pooler_t *pooler, usec_t now, const char **name, const char **address)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *writer;

	*name = sync->holder;
	*address = sync->holder_address;
	if (!sync->join_asked && !was_holder(pooler) &&
	    (goes_by_hubs(pooler) ? upstream_find(pooler, now, name, address)
				  : is_other(pooler, sync->holder)))
		return true;
	writer = find_writer(pooler);
	if (writer == NULL)
		return false;
	*name = writer->name;
	*address = writer->address;
	return true;
}

/*
 * False if nobody can be asked. A fleet of 24 that started together made 34 writes to get on the
 * roster when each tried its own first, most of them in vain.
 */
static bool ask_adder(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	const char *name;
	const char *address;

	if (!find_adder(pooler, now, &name, &address))
		return false;
	outgrow_last_life(pooler);
	/* The first message makes the link; it is tried again with the next tick. */
	if (!ask_peer(pooler, name, address) && now < sync->join_began + LINK_WITHIN)
		return true;
	sync->join_asked = true;
	sync->join_failed = false;
	sync->join_answered = false;
	sync->join_asked_at = now;
	sync->join_tries++;
	talloc_free(sync->join_asked_of);
	sync->join_asked_of = talloc_strdup(pooler, name);
	return true;
}

/*
 * Whoever was asked may still add us. In a large fleet that takes longer, but only one that has
 * answered is waited for: after a loss of power it may be the holder of before, and not be back.
 */
static bool is_being_added(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	usec_t silence = goes_by_hubs(pooler) ? HUB_ANSWERS : ADDED_WITHIN;

	return sync->join_asked &&
	       now < sync->join_asked_at + (sync->join_answered ? added_within(pooler) : silence);
}

/*
 * Whoever was asked is silent. In a large fleet another one is: after a loss of power the first
 * may not be back yet, and each own write is one of the whole roster.
 */
static void ask_another(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->join_asked || !goes_by_hubs(pooler) || sync->join_tries >= ADDERS_ASKED)
		return;
	upstream_avoid(pooler, sync->join_asked_of, now);
	sync->join_asked = false;
	sync->join_began = now;
}

/* A proxy that is not on the roster uses no primary. */
static void register_self(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (sync->registering || sync->reading || sync->confirmed_at == USEC_NEVER ||
	    restore_is_due(pooler) || pooler->draining || permit_is_registered(pooler) ||
	    is_being_added(pooler, now))
		return;
	if (sync->join_began == 0)
		sync->join_began = now;
	ask_another(pooler, now);
	if (!ask_adder(pooler, now))
		write_own_entry(pooler);
}

/* --- those that ask us --- */

static joiner_t *find_joiner(const sync_t *sync, const char *name)
{
	list_for_each (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (strcmp(joiner->name, name) == 0)
			return joiner;
	}
	return NULL;
}

/* False if it is on the roster already. */
static bool put_joiner(pooler_t *pooler, const peer_message_t *message, bool told)
{
	sync_t *sync = &pooler->sync;
	const roster_node_t *node = roster_node(pooler->sync.roster, message->from);
	joiner_t *joiner;

	if (pooler->draining || message->zone == NULL ||
	    (node != NULL && !node->gone && node->incarnation >= message->incarnation))
		return false;
	joiner = find_joiner(sync, message->from);
	if (joiner != NULL)
		forget(sync, joiner);
	joiner = talloc_zero(pooler, joiner_t);
	joiner->name = talloc_strdup(joiner, message->from);
	joiner->address = talloc_strdup(joiner, message->address);
	joiner->zone = talloc_strdup(joiner, message->zone);
	joiner->capacity = message->capacity;
	joiner->incarnation = message->incarnation;
	joiner->revision = message->revision;
	joiner->asked_at = now_of(pooler);
	joiner->told = told;
	list_add_tail(&sync->joiners, &joiner->node);
	sync->joiner_count++;
	return true;
}

/* True if the holder adds those that ask us. */
static bool passes_on(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;

	return goes_by_hubs(pooler) && !leader_is_self(pooler, now) &&
	       is_other(pooler, sync->holder) && now < sync->holder_heard + HOLDER_SILENT;
}

/*
 * With so many at once, as when a large fleet starts for the first time, a link back to each of
 * them would take more memory than a small VM has. They see the roster when they read the store
 * again.
 */
static bool is_crowded(const pooler_t *pooler)
{
	return pooler->sync.joiner_count >= DIRECT_FLEET;
}

bool join_answers(const pooler_t *pooler, const char *name)
{
	return !is_crowded(pooler) || roster_node(pooler->sync.roster, name) != NULL;
}

void join_on_ask(pooler_t *pooler, const peer_message_t *message)
{
	usec_t now = now_of(pooler);

	if (!put_joiner(pooler, message, !is_crowded(pooler)))
		return;
	if (passes_on(pooler, now))
		pooler->sync.ask_next = 0;
	join_run(pooler, now);
}

void join_on_state(pooler_t *pooler, const char *from)
{
	sync_t *sync = &pooler->sync;

	sync->join_answered |=
		sync->join_asked_of != NULL && strcmp(sync->join_asked_of, from) == 0;
}

void join_on_report(pooler_t *pooler, const peer_message_t *report)
{
	if (report->address != NULL && leader_is_self(pooler, now_of(pooler)) &&
	    put_joiner(pooler, report, false))
		join_run(pooler, now_of(pooler));
}

size_t join_count(const pooler_t *pooler)
{
	return pooler->sync.joiner_count;
}

size_t join_describe(const pooler_t *pooler, peer_message_t *reports)
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
			.report_age = now_of(pooler) - joiner->asked_at,
		};
	}
	return count;
}

static void on_added(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	pooler->sync.adding = false;
	tell_added(pooler);
	/* Another write was first: once more on top of it. Without an answer they try themselves.
	 */
	if (result->status == KV_CONFLICT)
		join_run(pooler, now_of(pooler));
	if (result->status == KV_OK || result->status == KV_CONFLICT)
		return;
	list_for_each_safe (it, &pooler->sync.joiners)
		forget(&pooler->sync, list_entry(it, joiner_t, node));
}

/*
 * By then they try themselves. One that died could never be told, and would be put on the roster
 * again each time it is called gone.
 */
static void forget_old(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	list_for_each_safe (it, &sync->joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (now >= joiner->asked_at + added_within(pooler))
			forget(sync, joiner);
	}
}

static void add_others(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (sync->adding || list_empty(&sync->joiners) || !permit_is_registered(pooler) ||
	    restore_is_due(pooler))
		return;
	if (passes_on(pooler, now)) {
		tell_added(pooler);
		return;
	}
	roster = roster_copy(NULL, sync->roster);
	if (!put_joiners(pooler, roster)) {
		talloc_free(roster);
		tell_added(pooler);
		return;
	}
	sync->adding = true;
	sync_commit(pooler, roster, on_added, pooler);
	talloc_free(roster);
}

void join_run(pooler_t *pooler, usec_t now)
{
	register_self(pooler, now);
	forget_old(pooler, now);
	add_others(pooler, now);
}
