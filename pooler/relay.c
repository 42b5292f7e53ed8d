#include "relay.h"

#include <string.h>

#include <talloc.h>

#include "exchange.h"
#include "state.h"

#define LOG_MODULE "relay"
#include "counter.h"
#include "log.h"

/*
 * Interval of probes of our own access to the store while it fails. Meanwhile all calls go through
 * a peer at once, since a renewal that was tried directly first would use up most of the time left
 * of a lease.
 */
#define PROBE_INTERVAL (1 * USEC_PER_SEC)
/*
 * In a larger fleet the interval grows, up to PROBE_INTERVAL_MAX, so that all proxies together
 * do not make more probes a second.
 */
#define PROBE_INTERVAL_MAX	 (4 * USEC_PER_SEC)
#define PROBE_INTERVAL_PER_PROXY (80 * USEC_PER_MSEC)
/*
 * A peer's report of its access to the store is valid for this time: two and a half of its query
 * intervals.
 */
#define ACCESS_REPORT_VALID (700 * USEC_PER_MSEC)
/* Maximum number of peers that are asked to make one call. */
#define HELPERS_MAX 2
/*
 * A peer whose access is unknown is chosen among this many proxies that follow this one on the
 * roster, so that there are few links whatever the size of the fleet.
 */
#define CANDIDATES_MAX 16
/* A peer that could not make a call is not tried again for this time. */
#define CANDIDATE_AVOID_TIME (2 * USEC_PER_SEC)
/*
 * Maximum number of calls made for other proxies at a time: a leader and proxies that start have
 * one or two each.
 */
#define JOBS_MAX 16
/* Time for the messages between the proxies, added to the peer's own time-out of the call. */
#define MESSAGES_TIME (100 * USEC_PER_MSEC)

/* Our own calls time out after this multiple of the usual response time, within the two limits. */
#define TIMEOUT_FACTOR 6
#define TIMEOUT_MIN    (250 * USEC_PER_MSEC)
#define TIMEOUT_MAX    (1500 * USEC_PER_MSEC)
/* Smoothing of the response time: each new one counts for a quarter. */
#define RESPONSE_WEIGHT 4

COUNTER_DEFINE(relayed_total, "store_calls_relayed_total", COUNTER_SUM,
	       "Calls to the store that a peer was asked to make.");
COUNTER_DEFINE(unanswered_total, "store_calls_relayed_unanswered_total", COUNTER_SUM,
	       "Of these, calls that the peer did not answer.");
COUNTER_DEFINE(jobs_total, "store_calls_for_others_total", COUNTER_SUM,
	       "Calls to the store made for another proxy.");

struct relay {
	kv_t kv; /* first member, so that a kv_t pointer is converted back to its relay */
	pooler_t *pooler;
	kv_t *direct;
	list_t calls; /* call_t */
	size_t jobs;
	size_t next_candidate;
	bool cut_off;
	bool probing; /* a probe is in flight */
	usec_t probe_at;
	usec_t response; /* smoothed response time of our own calls */
};

/* A call of this proxy that is in flight. */
typedef struct call {
	list_t node; /* in relay_t.calls while a peer makes the call */
	relay_t *relay;
	store_request_t request;
	kv_done_t done;
	void *data;
	char *helper;
	unsigned helpers; /* number of peers asked so far */
	bool sent;	  /* to the helper; false while there is no link to it */
	usec_t called_at; /* when the call was made directly */
	usec_t asked_at;  /* when the helper was asked */
} call_t;

/* A call that this proxy makes for another one. */
typedef struct relay_job {
	relay_t *relay;
	char *from;
	char *address;
	uint64_t number;
} relay_job_t;

/* --- own access --- */

bool relay_is_cut_off(const relay_t *relay)
{
	return relay->cut_off;
}

static usec_t probe_interval(const relay_t *relay)
{
	usec_t interval = relay->pooler->sync.proxy_count * PROBE_INTERVAL_PER_PROXY;

	return usec_clamp(interval, PROBE_INTERVAL, PROBE_INTERVAL_MAX);
}

static void resume_direct_calls(relay_t *relay);

/*
 * Retries reads that wait for a back-off, since they failed while the store did not serve this
 * proxy.
 */
static void retry_reads(pooler_t *pooler)
{
	usec_t now = now_of(pooler);

	if (pooler->config_follow != NULL) {
		follow_retry_failed(pooler->config_follow);
		follow_retry_failed(pooler->members_follow);
	}
	if (pooler->sync.read_not_before > now)
		pooler->sync.read_not_before = now;
}

static void update_access(relay_t *relay, kv_status_t status)
{
	bool failed = status == KV_REFUSED || status == KV_OUTCOME_UNKNOWN;

	if (failed == relay->cut_off)
		return;
	relay->cut_off = failed;
	relay->probe_at = now_of(relay->pooler) + probe_interval(relay);
	LOG_EVENT(failed ? LOG_WARN : LOG_INFO,
		  failed ? "store does not serve this proxy" : "store serves this proxy again",
		  LOG_INT("status", status));
	if (failed)
		return;
	resume_direct_calls(relay);
	retry_reads(relay->pooler);
}

/*
 * Adapts the time-out of our own calls, so that a lost answer is noticed after a multiple of the
 * usual response time instead of the longest one of a slow store.
 */
static void adapt_timeout(relay_t *relay, kv_status_t status, usec_t took)
{
	usec_t timeout;

	if (status == KV_OUTCOME_UNKNOWN && took > relay->response)
		relay->response = took;
	else if (status == KV_OK)
		relay->response =
			(relay->response * (RESPONSE_WEIGHT - 1) + took) / RESPONSE_WEIGHT;
	timeout = usec_clamp(relay->response * TIMEOUT_FACTOR, TIMEOUT_MIN, TIMEOUT_MAX);
	relay->direct->timeout_ms = (int64_t)(timeout / USEC_PER_MSEC);
}

static void make_call(kv_t *kv, const store_request_t *request, kv_done_t done, void *data)
{
	switch (request->op) {
	case STORE_RANGE:
		kv->ops->range(kv, request->prefix, request->after, done, data);
		break;
	case STORE_COMMIT:
		kv->ops->commit(kv, request->writes, request->count, done, data);
		break;
	case STORE_LEASE_CREATE:
		kv->ops->lease_create(kv, request->ttl_ms, done, data);
		break;
	case STORE_LEASE_KEEP:
		kv->ops->lease_keep(kv, request->lease, done, data);
		break;
	case STORE_LEASE_END:
		kv->ops->lease_end(kv, request->lease, done, data);
		break;
	}
}

/* --- relaying a call to a peer --- */

/*
 * False for a commit: without an answer it may have taken effect, and its caller must be notified
 * of that. A second attempt would report a conflict with the first.
 */
static bool is_repeatable(const call_t *call)
{
	return call->request.op != STORE_COMMIT;
}

static bool has_store_access(const peer_report_t *report, usec_t now)
{
	return report != NULL && !report->cut_off && report->access_reported_at != 0 &&
	       now < report->access_reported_at + ACCESS_REPORT_VALID;
}

static bool is_avoided(const peer_report_t *report, usec_t now)
{
	return report != NULL && report->cut_off &&
	       now < report->access_reported_at + CANDIDATE_AVOID_TIME;
}

/* Returns the next node of the roster; the first node follows the last one. */
static const roster_node_t *next_node(const roster_t *roster, const roster_node_t *node)
{
	const list_t *next =
		node->node.next != &roster->nodes ? node->node.next : roster->nodes.next;

	return list_entry(next, roster_node_t, node);
}

/*
 * Returns a peer whose access is unknown and that may reach the store, or NULL. A proxy that has
 * lost its hubs receives no reports of peers that reach it.
 */
static const roster_node_t *find_candidate(relay_t *relay, usec_t now)
{
	const pooler_t *pooler = relay->pooler;
	const roster_node_t *self = roster_find_node(pooler->sync.roster, pooler->config.name);
	const roster_node_t *node = self;
	const roster_node_t *candidates[CANDIDATES_MAX];
	size_t count = 0;

	for (size_t i = 0; self != NULL && i < CANDIDATES_MAX; i++) {
		node = next_node(pooler->sync.roster, node);
		if (node == self)
			break;
		if (!node->gone && !is_avoided(exchange_find_report(pooler, node->name), now))
			candidates[count++] = node;
	}
	return count != 0 ? candidates[relay->next_candidate++ % count] : NULL;
}

/* Returns the peer that last reported access to the store, or NULL. */
static const roster_node_t *find_helper(const relay_t *relay, usec_t now)
{
	const pooler_t *pooler = relay->pooler;
	const roster_node_t *best = NULL;
	usec_t latest = 0;

	list_for_each (it, &pooler->sync.roster->nodes) {
		const roster_node_t *node = list_entry(it, roster_node_t, node);
		const peer_report_t *report = exchange_find_report(pooler, node->name);

		if (node->gone || strcmp(node->name, pooler->config.name) == 0 ||
		    !has_store_access(report, now) || report->access_reported_at <= latest)
			continue;
		best = node;
		latest = report->access_reported_at;
	}
	return best;
}

static bool send_to(const relay_t *relay, const char *name, const char *address,
		    peer_message_t *message)
{
	env_t *env = relay->pooler->env;

	exchange_fill_sender(relay->pooler, message);
	return env->ops->peer_send(env, name, address, message);
}

static void send_call(call_t *call, const roster_node_t *helper)
{
	peer_message_t message = {.kind = PEER_STORE_REQUEST, .store_request = &call->request};

	call->sent = send_to(call->relay, helper->name, helper->address, &message);
}

/* Sends the call to a peer; false if there is none. */
static bool relay_to_peer(call_t *call)
{
	relay_t *relay = call->relay;
	usec_t now = now_of(relay->pooler);
	const roster_node_t *helper = find_helper(relay, now);

	if (call->helpers >= HELPERS_MAX)
		return false;
	if (helper == NULL && call->request.op == STORE_RANGE)
		helper = find_candidate(relay, now);
	if (helper == NULL)
		return false;
	call->helpers++;
	call->asked_at = now;
	call->request.number = pooler_next_number(relay->pooler);
	talloc_free(call->helper);
	call->helper = talloc_strdup(call, helper->name);
	list_add_tail(&relay->calls, &call->node);
	counter_add(&relayed_total, 1);
	send_call(call, helper);
	return true;
}

static void finish_call(call_t *call, const kv_result_t *result)
{
	call->done(call->data, result);
	talloc_free(call);
}

static void on_direct_done(void *data, const kv_result_t *result)
{
	call_t *call = data;
	bool relay_call = result->status == KV_REFUSED ||
			  (result->status == KV_OUTCOME_UNKNOWN && is_repeatable(call));

	update_access(call->relay, result->status);
	/*
	 * Only reads adapt the time-out: after a lost renewal of the lease the next one must not
	 * wait longer, since the lease would end meanwhile.
	 */
	if (call->request.op == STORE_RANGE)
		adapt_timeout(call->relay, result->status,
			      now_of(call->relay->pooler) - call->called_at);
	if (!relay_call || !relay_to_peer(call))
		finish_call(call, result);
}

static void start_call(call_t *call)
{
	if (call->relay->cut_off && relay_to_peer(call))
		return;
	call->called_at = now_of(call->relay->pooler);
	make_call(call->relay->direct, &call->request, on_direct_done, call);
}

/*
 * Makes the calls in flight directly when our own access is back, without waiting for peers that
 * may not answer.
 */
static void resume_direct_calls(relay_t *relay)
{
	list_for_each_safe (it, &relay->calls) {
		call_t *call = list_entry(it, call_t, node);

		if (!is_repeatable(call))
			continue;
		list_del(&call->node);
		call->called_at = now_of(relay->pooler);
		make_call(relay->direct, &call->request, on_direct_done, call);
	}
}

/* Tries another peer after a peer has failed to make the call. */
static void on_helper_failure(call_t *call, kv_status_t status)
{
	kv_result_t result = {.status = status};
	peer_report_t *report = exchange_get_report(call->relay->pooler, call->helper);

	report->cut_off = true;
	report->access_reported_at = now_of(call->relay->pooler);
	if ((status == KV_OUTCOME_UNKNOWN && !is_repeatable(call)) || !relay_to_peer(call))
		finish_call(call, &result);
}

void relay_on_answer(relay_t *relay, const peer_message_t *message)
{
	const store_answer_t *answer = message->store_answer;

	list_for_each (it, &relay->calls) {
		call_t *call = list_entry(it, call_t, node);

		if (call->request.number != answer->number ||
		    strcmp(call->helper, message->from) != 0)
			continue;
		list_del(&call->node);
		if (answer->result.status == KV_REFUSED ||
		    answer->result.status == KV_OUTCOME_UNKNOWN)
			on_helper_failure(call, answer->result.status);
		else
			finish_call(call, &answer->result);
		return;
	}
}

static void on_probed(void *data, const kv_result_t *result)
{
	relay_t *relay = data;

	relay->probing = false;
	relay->probe_at = now_of(relay->pooler) + probe_interval(relay);
	update_access(relay, result->status);
}

static void probe_store(relay_t *relay, usec_t now)
{
	if (!relay->cut_off || relay->probing || now < relay->probe_at)
		return;
	relay->probing = true;
	relay->direct->ops->range(relay->direct, relay->pooler->config.prefix, "", on_probed,
				  relay);
}

static void resend_call(call_t *call)
{
	const roster_node_t *helper =
		roster_find_node(call->relay->pooler->sync.roster, call->helper);

	if (helper != NULL)
		send_call(call, helper);
}

void relay_tick(relay_t *relay, usec_t now)
{
	usec_t timeout = (usec_t)relay->direct->timeout_ms * USEC_PER_MSEC + MESSAGES_TIME;

	list_for_each_safe (it, &relay->calls) {
		call_t *call = list_entry(it, call_t, node);

		if (!call->sent)
			resend_call(call);
		if (now < call->asked_at + timeout)
			continue;
		list_del(&call->node);
		counter_add(&unanswered_total, 1);
		on_helper_failure(call, KV_OUTCOME_UNKNOWN);
	}
	probe_store(relay, now);
}

/* --- calls for a peer --- */

static void send_answer(const relay_t *relay, const char *to, const char *address, uint64_t number,
			const kv_result_t *result)
{
	store_answer_t stored = {.number = number, .result = *result};
	peer_message_t message = {.kind = PEER_STORE_ANSWER, .store_answer = &stored};

	send_to(relay, to, address, &message);
}

static void on_job_done(void *data, const kv_result_t *result)
{
	relay_job_t *job = data;

	job->relay->jobs--;
	update_access(job->relay, result->status);
	send_answer(job->relay, job->from, job->address, job->number, result);
	talloc_free(job);
}

void relay_on_request(relay_t *relay, const peer_message_t *message)
{
	static const kv_result_t refused = {.status = KV_REFUSED};
	const store_request_t *request = message->store_request;
	relay_job_t *job;

	if (relay->cut_off || relay->pooler->draining || relay->jobs >= JOBS_MAX) {
		send_answer(relay, message->from, message->address, request->number, &refused);
		return;
	}
	counter_add(&jobs_total, 1);
	relay->jobs++;
	job = talloc_zero(relay, relay_job_t);
	job->relay = relay;
	job->from = talloc_strdup(job, message->from);
	job->address = talloc_strdup(job, message->address);
	job->number = request->number;
	make_call(relay->direct, request, on_job_done, job);
}

/* --- store interface --- */

static call_t *create_call(kv_t *kv, store_op_t op, kv_done_t done, void *data)
{
	relay_t *relay = (relay_t *)kv;
	call_t *call = talloc_zero(relay, call_t);

	call->relay = relay;
	call->request.op = op;
	call->done = done;
	call->data = data;
	return call;
}

static void relay_range(kv_t *kv, const char *prefix, const char *after, kv_done_t done, void *data)
{
	call_t *call = create_call(kv, STORE_RANGE, done, data);

	call->request.prefix = talloc_strdup(call, prefix);
	call->request.after = talloc_strdup(call, after);
	start_call(call);
}

typedef struct watch {
	relay_t *relay;
	kv_done_t done;
	void *data;
} watch_t;

static void on_watched(void *data, const kv_result_t *result)
{
	watch_t *watch = data;

	/* A waiting watch may lose its connection while the store serves all other calls. */
	if (result->status != KV_OUTCOME_UNKNOWN)
		update_access(watch->relay, result->status);
	watch->done(watch->data, result);
	talloc_free(watch);
}

static void relay_watch(kv_t *kv, const char *prefix, int64_t after, int64_t wait_ms,
			kv_done_t done, void *data)
{
	relay_t *relay = (relay_t *)kv;
	watch_t *watch = talloc_zero(relay, watch_t);

	*watch = (watch_t){.relay = relay, .done = done, .data = data};
	relay->direct->ops->watch(relay->direct, prefix, after, wait_ms, on_watched, watch);
}

static void relay_commit(kv_t *kv, const kv_write_t *writes, size_t count, kv_done_t done,
			 void *data)
{
	call_t *call = create_call(kv, STORE_COMMIT, done, data);
	kv_write_t *copies = talloc_array(call, kv_write_t, count);

	for (size_t i = 0; i < count; i++) {
		copies[i] = writes[i];
		copies[i].key = talloc_strdup(copies, writes[i].key);
		copies[i].value = talloc_strdup(copies, writes[i].value);
	}
	call->request.writes = copies;
	call->request.count = count;
	start_call(call);
}

static void relay_lease_create(kv_t *kv, int64_t ttl_ms, kv_done_t done, void *data)
{
	call_t *call = create_call(kv, STORE_LEASE_CREATE, done, data);

	call->request.ttl_ms = ttl_ms;
	start_call(call);
}

static void relay_lease_keep(kv_t *kv, uint64_t lease, kv_done_t done, void *data)
{
	call_t *call = create_call(kv, STORE_LEASE_KEEP, done, data);

	call->request.lease = lease;
	start_call(call);
}

static void relay_lease_end(kv_t *kv, uint64_t lease, kv_done_t done, void *data)
{
	call_t *call = create_call(kv, STORE_LEASE_END, done, data);

	call->request.lease = lease;
	start_call(call);
}

static const kv_ops_t relay_ops = {
	.range = relay_range,
	.watch = relay_watch,
	.commit = relay_commit,
	.lease_create = relay_lease_create,
	.lease_keep = relay_lease_keep,
	.lease_end = relay_lease_end,
};

relay_t *relay_create(pooler_t *pooler, kv_t *direct)
{
	relay_t *relay = talloc_zero(pooler, relay_t);

	relay->kv.ops = &relay_ops;
	relay->pooler = pooler;
	relay->direct = direct;
	list_init(&relay->calls);
	/*
	 * Until the store has answered once, calls time out as early as for a fast store: a call
	 * that is lost in an outage would otherwise still be pending after the outage.
	 */
	direct->timeout_ms = TIMEOUT_MIN / USEC_PER_MSEC;
	return relay;
}

kv_t *relay_get_kv(relay_t *relay)
{
	return &relay->kv;
}
