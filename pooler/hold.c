#include "hold.h"

#include <inttypes.h>

#include <talloc.h>

#include "duty.h"
#include "exchange.h"
#include "permit.h"
#include "push.h"
#include "restore.h"
#include "sync.h"
#include "upstream.h"

#define LOG_MODULE "hold"
#include "counter.h"
#include "log.h"

/* The lease of the duty, if the store grants one so short: how long a holder that died keeps it. */
#define DUTY_TTL (2000 * USEC_PER_MSEC)
/* Taken off at our side, for the store's timers. */
#define DUTY_MARGIN (300 * USEC_PER_MSEC)
/*
 * With a store that loses half of its answers (each is waited for 250 ms) the duty was lost in the
 * middle of a change in 5 of 12 runs at 600 ms; this leaves room for five renewals.
 */
#define RENEW_INTERVAL (400 * USEC_PER_MSEC)
/* A renewal that was turned away is repeated after this; one without an answer at once. */
#define RENEW_RETRY (200 * USEC_PER_MSEC)
/* Wait before taking the duty; jittered, so that one of many gets it. */
#define ACQUIRE_JITTER (200 * USEC_PER_MSEC)
/*
 * And so much more if the roster has a proxy that can do more: in a large fleet the holder answers
 * all hubs. If none of those takes it, any other does.
 */
#define WEAKER_WAITS (300 * USEC_PER_MSEC)
/* After a failed attempt. */
#define ACQUIRE_BACKOFF (400 * USEC_PER_MSEC)
/* A read that showed no holder is believed for so long. */
#define VACANT_BELIEVED (1 * USEC_PER_SEC)

COUNTER_DEFINE(duty_held, "duty_held", COUNTER_GAUGE,
	       "1 while this proxy holds the duty to promote.");

void hold_lose(pooler_t *pooler, const char *reason)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding)
		return;
	sync->holding = false;
	sync->acquire_after = now_of(pooler) + ACQUIRE_BACKOFF;
	counter_set(&duty_held, 0);
	LOG_EVENT(LOG_WARN, "duty lost", LOG_STR("reason", reason),
		  LOG_INT("fence", (int64_t)sync->own_fence));
	duty_abandon(pooler);
}

static void ignore_result(void *data, const kv_result_t *result)
{
	(void)data;
	(void)result;
}

static void end_lease(pooler_t *pooler)
{
	kv_t *kv = pooler_store(pooler);

	/* If this is lost the lease ends by itself. */
	if (pooler->sync.lease != 0)
		kv->ops->lease_end(kv, pooler->sync.lease, ignore_result, NULL);
	pooler->sync.lease = 0;
}

static void on_former_ended(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;

	if (result->status != KV_OK)
		pooler->sync.former_lease = 0;
	/* The next reading shows that the duty is vacant. */
	pooler->sync.behind = true;
}

void hold_end_former(pooler_t *pooler, uint64_t lease)
{
	kv_t *kv = pooler_store(pooler);

	if (lease == 0 || lease == pooler->sync.former_lease)
		return;
	pooler->sync.former_lease = lease;
	LOG_EVENT(LOG_INFO, "lease of an earlier life is ended", LOG_INT("lease", (int64_t)lease));
	kv->ops->lease_end(kv, lease, on_former_ended, pooler);
}

static void take_up(pooler_t *pooler, uint64_t fence)
{
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->holding = true;
	sync->past_fence = sync->own_fence;
	sync->own_fence = fence;
	sync->held_since = now;
	sync->renew_next = now;
	counter_set(&duty_held, 1);
	sync_set_holder(pooler, pooler->config.name, pooler->config.address, fence);
	push_fleet(pooler);
}

static void on_acquired(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	usec_t now = now_of(pooler);

	sync->acquiring = false;
	/* The answer may come after the hold has ended and gone to another. */
	if (result->status == KV_OK && now < sync->hold_until &&
	    (uint64_t)result->as_of >= sync->fence) {
		take_up(pooler, (uint64_t)result->as_of);
		return;
	}
	sync->acquire_after = now + ACQUIRE_BACKOFF;
	/* Unanswered, it may have been won: the next read shows whose key is there. */
	if (result->status != KV_LOST)
		end_lease(pooler);
}

void hold_on_own_key(pooler_t *pooler, uint64_t incarnation, uint64_t fence)
{
	sync_t *sync = &pooler->sync;

	if (sync->holding || sync->lease == 0 || incarnation != pooler->config.incarnation ||
	    now_of(pooler) >= sync->hold_until || fence < sync->fence)
		return;
	LOG_EVENT(LOG_INFO, "duty won, though no answer came", LOG_INT("fence", (int64_t)fence));
	take_up(pooler, fence);
}

static void on_lease(void *data, const kv_result_t *result)
{
	pooler_t *pooler = data;
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);
	char *key;
	char *value;
	kv_write_t write = {0};

	if (result->status != KV_OK) {
		sync->acquiring = false;
		sync->acquire_after = now_of(pooler) + ACQUIRE_BACKOFF;
		return;
	}
	sync->lease = result->lease;
	sync->lease_era = result->era;
	key = sync_key(NULL, pooler, "holder");
	value = talloc_asprintf(
		key, "{\"name\":\"%s\",\"address\":\"%s\",\"incarnation\":%" PRIu64 "}",
		pooler->config.name, pooler->config.address, pooler->config.incarnation);
	write = (kv_write_t){.key = key, .value = value, .expected = 0, .lease = result->lease};
	kv->ops->commit(kv, &write, 1, on_acquired, pooler);
	talloc_free(key);
}

static usec_t duty_ttl(const pooler_t *pooler)
{
	usec_t least = pooler->config.min_lease;

	return least > DUTY_TTL ? least : DUTY_TTL;
}

static void acquire(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	kv_t *kv = pooler_store(pooler);

	sync->acquiring = true;
	/* The lease runs from the call's arrival, which is no earlier than its sending. */
	sync->hold_until = now + duty_ttl(pooler) - DUTY_MARGIN;
	kv->ops->lease_create(kv, (int64_t)(duty_ttl(pooler) / USEC_PER_MSEC), on_lease, pooler);
}

static bool is_stronger_listed(const pooler_t *pooler)
{
	const roster_node_t *self = roster_node(pooler->sync.roster, pooler->config.name);

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);

		if (!node->gone && upstream_weight(node) > upstream_weight(self))
			return true;
	}
	return false;
}

/* A vacant duty is taken after a short random wait. */
static void consider_acquiring(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;
	bool vacant = sync->last_read_ok != 0 && sync->holder == NULL &&
		      now < sync->last_read_ok + VACANT_BELIEVED;

	if (!vacant || sync->acquiring || sync->holding || pooler->draining ||
	    (!permit_is_registered(pooler) && !restore_is_due(pooler)))
		return;
	if (sync->acquire_after < sync->last_read_ok) {
		sync->acquire_after = now + pooler_random(pooler, ACQUIRE_JITTER);
		if (is_stronger_listed(pooler) || restore_yields(pooler))
			sync->acquire_after += WEAKER_WAITS;
		return;
	}
	if (now >= sync->acquire_after)
		acquire(pooler, now);
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
	if (sync->holding && sync->lease == renewal->lease) {
		if (result->status == KV_OK) {
			/* While it is held nobody else changes a group; see sync_commit(). */
			sync_confirm(pooler, renewal->sent_at);
			sync->hold_until = renewal->sent_at + duty_ttl(pooler) - DUTY_MARGIN;
			sync->renew_next = now + RENEW_INTERVAL;
		} else if (result->status == KV_NOT_FOUND) {
			if (result->era > sync->lease_era)
				restore_on_lease_ended(pooler);
			sync->behind = true;
			hold_lose(pooler, "the lease ended");
		} else {
			sync->renew_next = result->status == KV_LOST ? now : now + RENEW_RETRY;
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

static void keep(pooler_t *pooler, usec_t now)
{
	sync_t *sync = &pooler->sync;

	if (!sync->holding)
		return;
	if (now >= sync->hold_until)
		hold_lose(pooler, "the lease was not renewed in time");
	else if (now >= sync->renew_next && !sync->renewing)
		renew(pooler, now);
}

bool hold_is_ours(const pooler_t *pooler, usec_t now)
{
	return pooler->sync.holding && now < pooler->sync.hold_until;
}

void hold_release(pooler_t *pooler)
{
	hold_lose(pooler, "shutting down");
	end_lease(pooler);
}

void hold_tick(pooler_t *pooler, usec_t now)
{
	keep(pooler, now);
	consider_acquiring(pooler, now);
}
