#include "timer.h"

#include <errno.h>
#include <stdlib.h>

#define INITIAL_CAPACITY 16

void timers_init(timer_set_t *set)
{
	*set = (timer_set_t){0};
}

void timers_destroy(timer_set_t *set)
{
	for (size_t i = 0; i < set->len; i++)
		set->heap[i]->index = 0;
	free(set->heap);
	*set = (timer_set_t){0};
}

static void set_slot(timer_set_t *set, size_t i, run_timer_t *timer)
{
	set->heap[i] = timer;
	timer->index = i + 1;
}

static void sift_up(timer_set_t *set, size_t i)
{
	run_timer_t *timer = set->heap[i];

	while (i > 0) {
		size_t parent = (i - 1) / 2;

		if (set->heap[parent]->due_at <= timer->due_at)
			break;
		set_slot(set, i, set->heap[parent]);
		i = parent;
	}
	set_slot(set, i, timer);
}

static void sift_down(timer_set_t *set, size_t i)
{
	run_timer_t *timer = set->heap[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= set->len)
			break;
		if (child + 1 < set->len && set->heap[child + 1]->due_at < set->heap[child]->due_at)
			child++;
		if (set->heap[child]->due_at >= timer->due_at)
			break;
		set_slot(set, i, set->heap[child]);
		i = child;
	}
	set_slot(set, i, timer);
}

static int reserve(timer_set_t *set)
{
	size_t size = set->size != 0 ? set->size * 2 : INITIAL_CAPACITY;
	run_timer_t **heap;

	if (set->len < set->size)
		return 0;
	heap = reallocarray(set->heap, size, sizeof(set->heap[0]));
	if (heap == NULL)
		return -ENOMEM;
	set->heap = heap;
	set->size = size;
	return 0;
}

int timers_arm(timer_set_t *set, run_timer_t *timer, usec_t due_at, timer_cb_t cb)
{
	timers_cancel(set, timer);
	if (reserve(set) < 0)
		return -ENOMEM;
	timer->due_at = due_at;
	timer->cb = cb;
	set_slot(set, set->len++, timer);
	sift_up(set, set->len - 1);
	return 0;
}

void timers_cancel(timer_set_t *set, run_timer_t *timer)
{
	size_t i;
	run_timer_t *last;

	if (timer->index == 0)
		return;
	i = timer->index - 1;
	timer->index = 0;
	last = set->heap[--set->len];
	if (last == timer)
		return;
	set_slot(set, i, last);
	sift_up(set, i);
	sift_down(set, last->index - 1);
}

usec_t timers_next_due(const timer_set_t *set)
{
	return set->len != 0 ? set->heap[0]->due_at : USEC_NEVER;
}

void timers_expire(timer_set_t *set, usec_t now)
{
	while (set->len != 0 && set->heap[0]->due_at <= now) {
		run_timer_t *timer = set->heap[0];

		timers_cancel(set, timer);
		timer->cb(timer, now);
	}
}
