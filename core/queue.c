#include "queue.h"

#include <string.h>

#include "group.h"
#include "request.h"

/* The least retry_after of a refusal. */
#define RETRY_AFTER_MIN (50 * USEC_PER_MSEC)

static bool may_use_replica(const request_t *request)
{
	return request->kind == ROW_READ && !request->linearizable && request->prefers_replica;
}

/* How many runs may go in parallel on the replicas, or on the primary. */
static usec_t parallel_run_limit(const group_t *group, bool on_replicas)
{
	int64_t runs = 0;

	for (size_t i = 0; i < group->member_count; i++) {
		const member_t *member = &group->members[i];
		bool is_replica = member != group->primary;

		if (is_replica == on_replicas && (!is_replica || member->data_as_of != 0))
			runs += member_run_limit(member);
	}
	return runs > 0 ? (usec_t)runs : 1;
}

usec_t queue_wait(const group_t *group, const request_t *request)
{
	bool on_replicas = may_use_replica(request);
	usec_t work = 0;

	list_for_each (it, &group->queue) {
		const request_t *other = list_entry(it, request_t, node);

		if (other->weight >= request->weight && may_use_replica(other) == on_replicas)
			work += group->service_time[other->kind];
	}
	return work / parallel_run_limit(group, on_replicas);
}

static int64_t count_queued_of_row(const group_t *group, const char *row)
{
	int64_t n = 0;

	list_for_each (it, &group->queue)
		n += strcmp(list_entry(it, request_t, node)->row, row) == 0;
	return n;
}

bool queue_admit(request_t *request, const row_t *row)
{
	const group_t *group = request->group;
	usec_t wait = queue_wait(group, request);
	usec_t left = request->deadline - request->core->now;
	usec_t retry_after = wait > RETRY_AFTER_MIN ? wait : RETRY_AFTER_MIN;

	if (count_queued_of_row(group, request->row) >= row->queue) {
		request_refuse(request, REFUSAL_OVERLOAD, retry_after,
			       "%lld requests of %s wait already", (long long)row->queue,
			       request->row);
		return false;
	}
	if (wait + group->service_time[request->kind] > left) {
		request_refuse(request, REFUSAL_OVERLOAD, retry_after,
			       "the wait would be %llu ms, the deadline is in %llu ms",
			       (unsigned long long)(wait / USEC_PER_MSEC),
			       (unsigned long long)(left / USEC_PER_MSEC));
		return false;
	}
	queue_insert(request);
	return true;
}

static bool is_ordered_before(const request_t *a, const request_t *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->deadline < b->deadline;
}

void queue_insert(request_t *request)
{
	group_t *group = request->group;
	list_t *pos = &group->queue;

	request->state = REQUEST_QUEUED;
	/* From the end: most new requests have the latest deadline of their weight. */
	while (pos->prev != &group->queue &&
	       is_ordered_before(request, list_entry(pos->prev, request_t, node)))
		pos = pos->prev;
	list_add_before(pos, &request->node);
}
