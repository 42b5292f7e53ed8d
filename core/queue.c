#include "queue.h"

#include <string.h>

#include "group.h"
#include "request.h"

/* Bounds of the time to come back that a refusal names. */
#define RETRY_AFTER_MIN (50 * USEC_PER_MSEC)

static int64_t total_slots(const group_t *group)
{
	int64_t slots = 0;

	for (size_t i = 0; i < group->member_count; i++)
		slots += group->members[i].spec.slots;
	return slots > 0 ? slots : 1;
}

usec_t queue_wait(const group_t *group, int64_t weight)
{
	usec_t ahead = 0;

	list_for_each (it, &group->queue) {
		if (list_entry(it, request_t, node)->weight >= weight)
			ahead++;
	}
	return ahead * group->service_time / (usec_t)total_slots(group);
}

static int64_t waiting_of_row(const group_t *group, const char *row)
{
	int64_t n = 0;

	list_for_each (it, &group->queue)
		n += strcmp(list_entry(it, request_t, node)->row, row) == 0;
	return n;
}

bool queue_admit(request_t *request, const row_t *row)
{
	const group_t *group = request->group;
	usec_t wait = queue_wait(group, request->weight);
	usec_t left = request->deadline - request->core->now;
	usec_t back = wait > RETRY_AFTER_MIN ? wait : RETRY_AFTER_MIN;

	if (waiting_of_row(group, request->row) >= row->queue) {
		request_refuse(request, REFUSAL_OVERLOAD, back, "%lld requests of %s wait already",
			       (long long)row->queue, request->row);
		return false;
	}
	if (wait + group->service_time > left) {
		request_refuse(request, REFUSAL_OVERLOAD, back,
			       "the wait would be %llu ms, the deadline is in %llu ms",
			       (unsigned long long)(wait / USEC_PER_MSEC),
			       (unsigned long long)(left / USEC_PER_MSEC));
		return false;
	}
	queue_insert(request);
	return true;
}

static bool goes_before(const request_t *a, const request_t *b)
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
	/* From the end: most newcomers have the latest deadline of their weight. */
	while (pos->prev != &group->queue &&
	       goes_before(request, list_entry(pos->prev, request_t, node)))
		pos = pos->prev;
	list_add_before(pos, &request->node);
}
