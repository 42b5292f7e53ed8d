#include "leader.h"

#include <inttypes.h>

#include <talloc.h>

#include "exchange.h"
#include "failover.h"
#include "permit.h"
#include "push.h"
#include "restore.h"
#include "sync.h"
#include "upstream.h"

#define LOG_MODULE "hold"
#include "counter.h"
#include "log.h"

/*
 * Time to live of the leader lease, unless the store's shortest is longer. A leader that died
 * blocks its successor for this long.
 */
#define LEASE_TTL (2000 * USEC_PER_MSEC)
/*
 * This proxy's leadership ends this much before the lease, to allow for inaccuracy of the store's
 * timers.
 */
#define LEASE_MARGIN (300 * USEC_PER_MSEC)
/*
 * Time between two renewals; leaves room for five attempts within a lease. With a store that loses
 * half of its answers (each call has a 250 ms time-out), an interval of 600 ms lost the leadership
 * in the middle of a change in 5 of 12 runs.
 */
#define RENEW_INTERVAL (400 * USEC_PER_MSEC)
/* Delay before a rejected renewal is repeated; one that timed out is repeated at once. */
#define RENEW_RETRY (200 * USEC_PER_MSEC)
/*
 * Upper bound of the random delay before a proxy requests a vacant leadership, so that one of many
 * gets it.
 */
#define ACQUIRE_JITTER (200 * USEC_PER_MSEC)
/*
 * Additional delay if the roster has a proxy with more capacity: in a large fleet the leader
 * answers all hubs. If no stronger proxy becomes the leader in this time, any other may.
 */
#define WEAKER_ACQUIRE_DELAY (300 * USEC_PER_MSEC)
/* Delay after a failed attempt to become the leader. */
#define ACQUIRE_BACKOFF (400 * USEC_PER_MSEC)
/* How long a read of the store that found no leader counts as current. */
#define VACANCY_VALID (1 * USEC_PER_SEC)

COUNTER_DEFINE(duty_held, "duty_held", COUNTER_GAUGE,
	       "1 while this proxy is the leader, which may change primaries.");

void leader_step_down(pooler_t *pooler, const char *reason)
{
	sync_t *sync = &pooler->sync;

	if (!sync->leading)
		return;
	sync->leading = false;
	sync->acquire_not_before = now_of(pooler) + ACQUIRE_BACKOFF;
	counter_set(&duty_held, 0);
	LOG_EVENT(LOG_WARN, "leadership lost", LOG_STR("reason", reason),
		  LOG_INT("fence", (int64_t)sync->own_token));
	failover_abandon(pooler);
}

static void ignore_result(void *data, const kv_result_t *result)
{
	(void)data;
	(void)result;
}

static void end_lease(pooler_t *pooler)
{
	kv_t *kv = pooler_store(pooler);

	/* If this call is lost, the lease expires by itself. */
	if (pooler->sync.lease != 0)
		kv->ops->lease_end(kv, pooler->sync.lease, ignore_result, NULL);
	pooler->sync.lease = 0;
}

static void on_former_lease_ended(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	if (result->status != KV_OK)
		pooler->sync.former_lease = 0;
	/* The next read of the store shows that there is no leader. */
	pooler->sync.roster_maybe_stale = true;
}

void leader_end_former_lease(pooler_t *pooler, uint64_t lease)
{
	kv_t *kv = pooler_store(pooler);

	if (lease == 0 || lease == pooler->sync.former_lease)
		return;
	pooler->sync.former_lease = lease;
	LOG_EVENT(LOG_INFO, "ending the leader lease of an earlier process of this proxy",
		  LOG_INT("lease", (int64_t)lease));
	kv->ops->lease_end(kv, lease, on_former_lease_ended, pooler);
}

static void assume_leadership(pooler_t *pooler, uint64_t fencing_token)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->leading = true;
	sync->former_token = sync->own_token;
	sync->own_token = fencing_token;
	sync->leading_since = now;
	sync->renew_next = now;
	counter_set(&duty_held, 1);
	sync_set_leader(pooler, pooler->config.name, pooler->config.address, fencing_token);
	push_fleet(pooler);
}

static void on_acquired(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->acquiring = false;
	/*
	 * The answer may arrive after this lease has expired and another proxy has become the
	 * leader.
	 */
	if (result->status == KV_OK && now < sync->lease_until &&
	    (uint64_t)result->as_of >= sync->fencing_token) {
		assume_leadership(pooler, (uint64_t)result->as_of);
		return;
	}
	sync->acquire_not_before = now + ACQUIRE_BACKOFF;
	/*
	 * If the call timed out, the key may have been written: the next read of the store shows
	 * whose it is.
	 */
	if (result->status != KV_OUTCOME_UNKNOWN)
		end_lease(pooler);
}

void leader_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fencing_token)
{
	sync_t *sync = &pooler->sync;

	if (sync->leading || sync->lease == 0 || incarnation != pooler->config.incarnation ||
	    now_of(pooler) >= sync->lease_until || fencing_token < sync->fencing_token)
		return;
	LOG_EVENT(LOG_INFO, "leadership acquired: the unanswered write succeeded",
		  LOG_INT("fence", (int64_t)fencing_token));
	assume_leadership(pooler, fencing_token);
}

static void on_lease_created(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);
	char *key;
	char *value;
	kv_write_t write = {0};

	if (result->status != KV_OK) {
		sync->acquiring = false;
		sync->acquire_not_before = now_of(pooler) + ACQUIRE_BACKOFF;
		return;
	}
	sync->lease = result->lease;
	sync->lease_era = result->era;
	key = sync_make_key(NULL, pooler, "holder");
	value = talloc_asprintf(
		key, "{\"name\":\"%s\",\"address\":\"%s\",\"incarnation\":%" PRIu64 "}",
		pooler->config.name, pooler->config.address, pooler->config.incarnation);
	write = (kv_write_t){.key = key, .value = value, .expected = 0, .lease = result->lease};
	kv->ops->commit(kv, &write, 1, on_acquired, pooler);
	talloc_free(key);
}

static usec_t lease_ttl(const pooler_t *pooler)
{
	usec_t least = pooler->config.min_lease;

	return least > LEASE_TTL ? least : LEASE_TTL;
}

static void request_lease(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);

	sync->acquiring = true;
	/* The lease begins when the call arrives at the store, which is no earlier than now. */
	sync->lease_until = now + lease_ttl(pooler) - LEASE_MARGIN;
	kv->ops->lease_create(kv, (int64_t)(lease_ttl(pooler) / USEC_PER_MSEC), on_lease_created,
			      pooler);
}

static bool has_stronger_proxy(const pooler_t *pooler)
{
	const roster_node_t *self = roster_find_node(pooler->sync.roster, pooler->config.name);

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone && upstream_weight(node) > upstream_weight(self))
			return true;
	}
	return false;
}

/* Requests a vacant leadership after a short random delay. */
static void acquire_if_vacant(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	bool vacant = sync->last_read_at != 0 && sync->leader == NULL &&
		      now < sync->last_read_at + VACANCY_VALID;

	if (!vacant || sync->acquiring || sync->leading || pooler->draining ||
	    (!permit_is_registered(pooler) && !restore_is_pending(pooler)))
		return;
	if (sync->acquire_not_before < sync->last_read_at) {
		sync->acquire_not_before = now + pooler_random(pooler, ACQUIRE_JITTER);
		if (has_stronger_proxy(pooler) || restore_must_yield(pooler))
			sync->acquire_not_before += WEAKER_ACQUIRE_DELAY;
		return;
	}
	if (now >= sync->acquire_not_before)
		request_lease(pooler, now);
}

typedef struct renewal {
	pooler_t *pooler;
	usec_t sent_at;
	uint64_t lease;
} renewal_t;

static void on_renewed(void *data, const kv_result_t *result)
{
	renewal_t *renewal = data;
	pooler_t *pooler = renewal->pooler;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->renewing = false;
	if (sync->leading && sync->lease == renewal->lease) {
		if (result->status == KV_OK) {
			/*
			 * Only the leader changes groups, so a renewed lease confirms this proxy's
			 * roster; see sync_commit_roster().
			 */
			sync_confirm_roster(pooler, renewal->sent_at);
			sync->lease_until = renewal->sent_at + lease_ttl(pooler) - LEASE_MARGIN;
			sync->renew_next = now + RENEW_INTERVAL;
		} else if (result->status == KV_NOT_FOUND) {
			if (result->era > sync->lease_era)
				restore_on_lease_ended(pooler);
			sync->roster_maybe_stale = true;
			leader_step_down(pooler, "the lease ended");
		} else {
			sync->renew_next =
				result->status == KV_OUTCOME_UNKNOWN ? now : now + RENEW_RETRY;
		}
	}
	talloc_free(renewal);
}

static void renew(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);
	renewal_t *renewal = talloc_zero(pooler, renewal_t);

	sync->renewing = true;
	renewal->pooler = pooler;
	renewal->sent_at = now;
	renewal->lease = sync->lease;
	kv->ops->lease_keep(kv, sync->lease, on_renewed, renewal);
}

static void renew_if_due(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->leading)
		return;
	if (now >= sync->lease_until)
		leader_step_down(pooler, "the lease was not renewed in time");
	else if (now >= sync->renew_next && !sync->renewing)
		renew(pooler, now);
}

bool leader_is_self(const pooler_t *pooler, usec_t now)
{
	return pooler->sync.leading && now < pooler->sync.lease_until;
}

void leader_release(pooler_t *pooler)
{
	leader_step_down(pooler, "shutting down");
	end_lease(pooler);
}

void leader_tick(pooler_t *pooler, usec_t now)
{
	renew_if_due(pooler, now);
	acquire_if_vacant(pooler, now);
}
