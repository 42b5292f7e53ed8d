#include "lend.h"

#include "conn.h"
#include "exchange.h"
#include "home.h"
#include "member.h"

#define LOG_MODULE "lend"
#include "counter.h"
#include "log.h"

/* A refusal counts for so long; a proxy that still wants a connection asks again before that. */
#define REFUSAL_VALID (250 * USEC_PER_MSEC)
/*
 * For so long after the first lack only what is beyond the share is given back: those who lack one
 * ask again within 120 ms and then need 12 ms of a slot. After a kill of all, when nothing more
 * is needed, 448 statements in 3 s (test_pooler_load): from 0 ms 365 were served in time and 101
 * connections made, from 250 ms 400 and 36; with turns for 3 s, as after a loss of power, 205 and
 * 154. Site scores with 0, 200, 250 and 300 ms do not differ by more than their spread.
 */
#define RETURN_TIME (250 * USEC_PER_MSEC)
/*
 * One in so many that hear of a lack gives its connection away: few are needed, and each new one
 * takes a slot's time. Mean scores of the users' smaller site: one in two .845 (4), one in four
 * .841 (5), none .835 (4).
 */
#define YIELD_ONE_OF 2
/* What a proxy says that it lacks counts for an interval of its messages and a tick at each end. */
#define LACK_VALID (350 * USEC_PER_MSEC)
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

bool lend_has_any(const member_t *member)
{
	list_for_each (it, &member->conns) {
		const conn_t *conn = list_entry(it, conn_t, node);

		if (conn->state != CONN_OPENING && !conn->probe)
			return true;
	}
	return false;
}

bool lend_lacks(const member_t *member, usec_t now)
{
	return member->refused_at != 0 && now < member->refused_at + REFUSAL_VALID &&
	       !lend_has_any(member);
}

static void take_turns(member_t *member, usec_t now)
{
	if (now >= member->scarce_until) {
		member->scarce_since = now;
		LOG_EVENT(LOG_INFO, "connections are used by turns",
			  LOG_STR("service", member->service->name), LOG_STR("member", member->id),
			  LOG_INT("ours", (int64_t)member->conn_count));
	}
	member->scarce_until = now + LACK_VALID;
	if (now >= member->scarce_since + RETURN_TIME &&
	    pooler_random(member->pooler, YIELD_ONE_OF) == 0)
		member->yields = true;
	/* Nothing is borrowed meanwhile. */
	if (member->full_until < member->scarce_until)
		member->full_until = member->scarce_until;
}

void lend_on_heard(pooler_t *pooler, const char *scarce, usec_t now)
{
	if (scarce == NULL || *scarce == '\0')
		return;
	list_for_each (it, &pooler->members) {
		member_t *member = list_entry(it, member_t, node);

		if (exchange_lists(scarce, member->id))
			take_turns(member, now);
	}
}

/* Not even one connection each. */
static bool is_short(const service_t *service)
{
	return service->max_connections > 0 && !home_applies(service) &&
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
	const member_t *member = conn->member;

	if (conn->state != CONN_IDLE || conn->probe)
		return false;
	if (now < member->scarce_until && member->conn_count > member_share(member))
		return true;
	if (is_short(member->service))
		return now >= conn->opened + long_turn(member);
	return now < member->scarce_until && member->yields && now >= conn->opened + TURN;
}

void lend_close(conn_t *conn, usec_t now)
{
	conn->member->open_after = now + PAUSE;
	conn->member->yields = false;
	counter_add(&lent_total, 1);
	conn_close(conn, "others wait for it");
}
