#include "join.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"
#include "permit.h"
#include "sync.h"

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
	uint64_t incarnation;
	usec_t asked_at;
} joiner_t;

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
				joiner->incarnation);
		any = true;
	}
	return any;
}

static void forget(joiner_t *joiner)
{
	list_del(&joiner->node);
	talloc_free(joiner);
}

/* Tell those that are on the roster now. */
static void tell_added(pooler_t *pooler)
{
	const roster_t *roster = pooler->sync.roster;

	list_for_each_safe (it, &pooler->sync.joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (!is_on(roster, joiner))
			continue;
		/* Without a link to it yet, once more with the next tick. */
		if (!exchange_tell(pooler, joiner->name, joiner->address))
			continue;
		counter_add(&added_total, 1);
		forget(joiner);
	}
}

static void on_registered(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;

	sync->registering = false;
	sync->join_began = 0;
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
			pooler->config.incarnation);
	put_joiners(pooler, roster);
	sync_commit(pooler, roster, on_registered, pooler);
	talloc_free(roster);
}

static bool is_other(const pooler_t *pooler, const char *name)
{
	return name != NULL && strcmp(name, pooler->config.name) != 0;
}

/*
 * Who can add us: the holder of the duty, or, when our own write met another one, whoever made
 * that. False if there is nobody.
 */
static bool find_adder(const pooler_t *pooler, const char **name, const char **address)
{
	const sync_t *sync = &pooler->sync;
	const roster_node_t *writer;

	if (!sync->join_asked && is_other(pooler, sync->holder)) {
		*name = sync->holder;
		*address = sync->holder_address;
		return true;
	}
	writer = sync->join_failed && is_other(pooler, sync->roster->writer)
			 ? roster_node(sync->roster, sync->roster->writer)
			 : NULL;
	if (writer == NULL || writer->gone)
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

	if (!find_adder(pooler, &name, &address))
		return false;
	outgrow_last_life(pooler);
	/* The first message makes the link; it is tried again with the next tick. */
	if (!exchange_ask(pooler, name, address) && now < sync->join_began + LINK_WITHIN)
		return true;
	sync->join_asked = true;
	sync->join_failed = false;
	sync->join_asked_at = now;
	return true;
}

/*
 * Whoever was asked may still add us. In a large fleet that takes longer, but only one that has
 * answered is waited for: after a loss of power it may be the holder of before, and not be back.
 */
static bool is_being_added(const pooler_t *pooler, usec_t now)
{
	const sync_t *sync = &pooler->sync;
	bool answered = sync->holder_heard > sync->join_asked_at;

	return sync->join_asked &&
	       now < sync->join_asked_at + (answered ? added_within(pooler) : ADDED_WITHIN);
}

/* A proxy that is not on the roster uses no primary. */
static void register_self(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (sync->registering || sync->reading || sync->confirmed_at == USEC_NEVER ||
	    pooler->draining || permit_is_registered(pooler) || is_being_added(pooler, now))
		return;
	if (sync->join_began == 0)
		sync->join_began = now;
	if (!ask_adder(pooler, now))
		write_own_entry(pooler);
}

/* --- those that ask us --- */

void join_on_ask(pooler_t *pooler, const peer_message_t *message)
{
	const roster_node_t *node = roster_node(pooler->sync.roster, message->from);
	joiner_t *joiner;

	if (pooler->draining || message->zone == NULL ||
	    (node != NULL && !node->gone && node->incarnation >= message->incarnation))
		return;
	joiner = talloc_zero(pooler, joiner_t);
	joiner->name = talloc_strdup(joiner, message->from);
	joiner->address = talloc_strdup(joiner, message->address);
	joiner->zone = talloc_strdup(joiner, message->zone);
	joiner->incarnation = message->incarnation;
	joiner->asked_at = now_of(pooler);
	list_add_tail(&pooler->sync.joiners, &joiner->node);
	join_run(pooler, now_of(pooler));
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
		forget(list_entry(it, joiner_t, node));
}

/*
 * By then they try themselves. One that died could never be told, and would be put on the roster
 * again each time it is called gone.
 */
static void forget_old(pooler_t *pooler, usec_t now)
{
	list_for_each_safe (it, &pooler->sync.joiners) {
		joiner_t *joiner = list_entry(it, joiner_t, node);

		if (now >= joiner->asked_at + added_within(pooler))
			forget(joiner);
	}
}

static void add_others(pooler_t *pooler)
{
	sync_t *sync = &pooler->sync;
	roster_t *roster;

	if (sync->adding || list_empty(&sync->joiners) || !permit_is_registered(pooler))
		return;
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
	add_others(pooler);
}
