#include "lend.h"

#include "conn.h"
#include "exchange.h"

#define LOG_MODULE "lend"
#include "counter.h"
#include "log.h"

/* How long members keep the connections of machines that are gone (the platform's 3 s). */
#define DEAD_KEPT (3 * USEC_PER_SEC)
/*
 * A turn. A connection takes 12 ms of a slot to make, so this spends an eighth on it. Measured with
 * 12 proxies before members of 16 connections, worth of the two seconds after the loss: 50 ms
 * .14, 90 ms .18 to .23, 150 ms .16, without turns .12.
 */
#define TURN (90 * USEC_PER_MSEC)
/* What a new connection takes of a slot on the users' sites. */
#define OPENING_WORK (12 * USEC_PER_MSEC)
/*
 * With more proxies than connections, a quarter of the slots may go into new connections. Measured
 * with 83 proxies before members of 2 slots and 25 connections, requests failed on a quiet and on a
 * loaded day: no turns 28% and 24%, turns of TURN 5% and 31%, a quarter 4% and 9%, an eighth 19%
 * and 20%.
 */
#define OPENING_PART 4
/* Longer than a refused proxy waits before it asks again (FULL_RETRY twice), so that it gets in. */
#define PAUSE (130 * USEC_PER_MSEC)

COUNTER_DEFINE(lent_total, "member_connections_lent_total", COUNTER_SUM,
	       "Connections closed for others to have a turn.");

static void take_turns(service_t *service, usec_t now)
{
	usec_t until = service->pooler->started + DEAD_KEPT;

	if (now >= until || service->lending_until == until)
		return;
	service->lending_until = until;
	LOG_EVENT(LOG_INFO, "connections are used by turns", LOG_STR("service", service->name),
		  LOG_INT("for_ms", (int64_t)((until - now) / USEC_PER_MSEC)));
}

void lend_on_refused(service_t *service, usec_t now)
{
	take_turns(service, now);
	service->was_refused = now < service->lending_until;
}

void lend_on_heard(pooler_t *pooler, const char *scarce, usec_t now)
{
	list_for_each (it, &pooler->services) {
		service_t *service = list_entry(it, service_t, node);

		if (exchange_lists(scarce, service->name))
			take_turns(service, now);
	}
}

/* Not even one connection each. */
static bool is_short(const service_t *service)
{
	return service->max_connections > 0 &&
	       service->pooler->sync.proxies > (size_t)service->max_connections;
}

/* All of a member's connections go round, so the turns must leave its slots to statements. */
static usec_t long_turn(const member_t *member)
{
	int64_t slots = member->slots > 0 ? member->slots : 1;

	return OPENING_WORK * (usec_t)member->service->max_connections * OPENING_PART /
	       (usec_t)slots;
}

bool lend_is_due(const conn_t *conn, usec_t now)
{
	const service_t *service = conn->member->service;

	if (conn->state != CONN_IDLE || conn->probe)
		return false;
	if (now < service->lending_until)
		return now >= conn->opened + TURN;
	return is_short(service) && now >= conn->opened + long_turn(conn->member);
}

void lend_close(conn_t *conn, usec_t now)
{
	conn->member->open_after = now + PAUSE;
	counter_add(&lent_total, 1);
	conn_close(conn, "others wait for it");
}
