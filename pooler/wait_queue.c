#include "wait_queue.h"

#include <talloc.h>
#include <uthash.h>

/* Work by which a customer may be ahead of its turn. */
#define DEBT_MAX(waiter)                                                                           \
	((int64_t)((waiter)->work > WAIT_QUEUE_QUANTUM ? (waiter)->work : WAIT_QUEUE_QUANTUM))

/* Work beyond its floor that is held against a lower priority. */
#define FLOOR_DEBT_MAX ((int64_t)(100 * USEC_PER_MSEC))

/* Waiters of each kind are served after all of the kind before. */
enum { ON_TIME, LATE, KINDS };

/* The waiters of one customer and priority. */
typedef struct wait_flow {
	UT_hash_handle hh; /* in wait_level_t.flows_by_customer */
	list_t node;	   /* in wait_level_t.flows */
	struct wait_level *level;
	const void *customer;
	usec_t usage;	       /* of the waiter that came last */
	int64_t deficit;       /* work that the customer may still have served in this turn */
	list_t waiters[KINDS]; /* waiter_t.node, in the order of service */
	wait_work_t work[KINDS];
} wait_flow_t;

/* The waiters of one priority. */
typedef struct wait_level {
	list_t node; /* in wait_queue_t.levels */
	int64_t priority;
	list_t flows; /* wait_flow_t.node, in the order of turns */
	wait_flow_t *flows_by_customer;
	size_t counts[KINDS];
	wait_work_t work[KINDS];
	int64_t floor_credit; /* work that is due to it before higher priorities */
	usec_t on_time_since; /* when the first of the present waiters on time came */
} wait_level_t;

struct wait_queue {
	list_t levels; /* wait_level_t.node, by priority */
	size_t counts[KINDS];
	usec_t next_late_at; /* no waiter on time becomes late before that time */
};

wait_queue_t *wait_queue_create(void *parent)
{
	wait_queue_t *queue = talloc_zero(parent, wait_queue_t);

	list_init(&queue->levels);
	queue->next_late_at = USEC_NEVER;
	return queue;
}

/* --- levels and flows --- */

static wait_level_t *level_of(list_t *node)
{
	return list_entry(node, wait_level_t, node);
}

/* The hash table is not allocated by talloc. */
static int free_table(wait_level_t *level)
{
	HASH_CLEAR(hh, level->flows_by_customer);
	return 0;
}

static wait_level_t *find_level(const wait_queue_t *queue, int64_t priority)
{
	list_for_each (it, &queue->levels) {
		if (level_of(it)->priority == priority)
			return level_of(it);
	}
	return NULL;
}

static wait_level_t *get_level(wait_queue_t *queue, int64_t priority)
{
	wait_level_t *level = find_level(queue, priority);
	list_t *pos = queue->levels.next;

	if (level != NULL)
		return level;
	while (pos != &queue->levels && level_of(pos)->priority < priority)
		pos = pos->next;
	level = talloc_zero(queue, wait_level_t);
	level->priority = priority;
	talloc_set_destructor(level, free_table);
	list_init(&level->flows);
	list_add_before(pos, &level->node);
	return level;
}

static wait_flow_t *find_flow(const wait_level_t *level, const void *customer)
{
	wait_flow_t *flow;

	HASH_FIND_PTR(level->flows_by_customer, &customer, flow);
	return flow;
}

static wait_flow_t *get_flow(wait_level_t *level, const void *customer)
{
	wait_flow_t *flow = find_flow(level, customer);

	if (flow != NULL)
		return flow;
	flow = talloc_zero(level, wait_flow_t);
	flow->level = level;
	flow->customer = customer;
	list_init(&flow->waiters[ON_TIME]);
	list_init(&flow->waiters[LATE]);
	list_add_tail(&level->flows, &flow->node);
	HASH_ADD_PTR(level->flows_by_customer, customer, flow);
	return flow;
}

static void free_if_empty(wait_flow_t *flow)
{
	wait_level_t *level = flow->level;

	if (!list_empty(&flow->waiters[ON_TIME]) || !list_empty(&flow->waiters[LATE]))
		return;
	HASH_DEL(level->flows_by_customer, flow);
	list_del(&flow->node);
	talloc_free(flow);
	if (!list_empty(&level->flows))
		return;
	list_del(&level->node);
	talloc_free(level);
}

/* --- waiters --- */

static waiter_t *waiter_of(list_t *node)
{
	return list_entry(node, waiter_t, node);
}

/* Latest time at which the waiter can be sent and still probably meet its objective. */
static usec_t send_by(const waiter_t *waiter)
{
	usec_t end = waiter->arrived_at + waiter->objective;

	return end > waiter->response ? end - waiter->response : 0;
}

static void add_work(wait_work_t *sum, const waiter_t *waiter)
{
	sum->all += waiter->work;
	sum->primary += waiter->primary_only ? waiter->work : 0;
}

static void subtract_work(wait_work_t *sum, const waiter_t *waiter)
{
	sum->all -= waiter->work;
	sum->primary -= waiter->primary_only ? waiter->work : 0;
}

/* Position in the list, from its end, since most waiters of a flow are of one route. */
static list_t *position_on_time(list_t *waiters, const waiter_t *waiter)
{
	list_t *pos = waiters;

	while (pos->prev != waiters && send_by(waiter_of(pos->prev)) > send_by(waiter))
		pos = pos->prev;
	return pos;
}

/* Position in the list, from its start, which has the newest. */
static list_t *position_late(list_t *waiters, const waiter_t *waiter)
{
	list_t *pos = waiters->next;

	while (pos != waiters && waiter_of(pos)->arrived_at > waiter->arrived_at)
		pos = pos->next;
	return pos;
}

static void link_waiter(wait_queue_t *queue, waiter_t *waiter)
{
	wait_flow_t *flow = waiter->flow;
	int kind = waiter->late ? LATE : ON_TIME;
	list_t *waiters = &flow->waiters[kind];

	list_add_before(waiter->late ? position_late(waiters, waiter)
				     : position_on_time(waiters, waiter),
			&waiter->node);
	add_work(&flow->work[kind], waiter);
	add_work(&flow->level->work[kind], waiter);
	flow->level->counts[kind]++;
	queue->counts[kind]++;
	if (!waiter->late && send_by(waiter) < queue->next_late_at)
		queue->next_late_at = send_by(waiter);
}

static void unlink_waiter(wait_queue_t *queue, waiter_t *waiter)
{
	wait_flow_t *flow = waiter->flow;
	int kind = waiter->late ? LATE : ON_TIME;

	list_del(&waiter->node);
	subtract_work(&flow->work[kind], waiter);
	subtract_work(&flow->level->work[kind], waiter);
	flow->level->counts[kind]--;
	queue->counts[kind]--;
}

static usec_t bounded_work(usec_t work)
{
	return work < WAIT_QUEUE_WORK_MAX ? work : WAIT_QUEUE_WORK_MAX;
}

void wait_queue_add(wait_queue_t *queue, waiter_t *waiter, usec_t now)
{
	wait_level_t *level = get_level(queue, waiter->priority);

	if (level->counts[ON_TIME] == 0)
		level->on_time_since = now;
	waiter->work = bounded_work(waiter->work);
	waiter->flow = get_flow(level, waiter->customer);
	waiter->flow->usage = waiter->usage;
	waiter->late = false;
	link_waiter(queue, waiter);
}

void wait_queue_update(wait_queue_t *queue, waiter_t *waiter, usec_t work, usec_t response,
		       bool primary_only, usec_t now)
{
	wait_level_t *level = waiter->flow->level;

	work = bounded_work(work);
	if (waiter->work == work && waiter->response == response &&
	    waiter->primary_only == primary_only)
		return;
	if (level->counts[ON_TIME] == 0)
		level->on_time_since = now;
	unlink_waiter(queue, waiter);
	waiter->work = work;
	waiter->response = response;
	waiter->primary_only = primary_only;
	waiter->late = false;
	link_waiter(queue, waiter);
}

void wait_queue_remove(wait_queue_t *queue, waiter_t *waiter)
{
	wait_flow_t *flow = waiter->flow;

	if (flow == NULL)
		return;
	unlink_waiter(queue, waiter);
	waiter->flow = NULL;
	free_if_empty(flow);
}

/* Moves the waiters of the flow that have become late; they are first in their list. */
static void move_late_in_flow(wait_queue_t *queue, wait_flow_t *flow, usec_t now)
{
	list_t *waiters = &flow->waiters[ON_TIME];

	while (!list_empty(waiters) && send_by(waiter_of(waiters->next)) <= now) {
		waiter_t *waiter = waiter_of(waiters->next);

		unlink_waiter(queue, waiter);
		waiter->late = true;
		link_waiter(queue, waiter);
	}
	if (!list_empty(waiters) && send_by(waiter_of(waiters->next)) < queue->next_late_at)
		queue->next_late_at = send_by(waiter_of(waiters->next));
}

static void move_late(wait_queue_t *queue, usec_t now)
{
	if (now < queue->next_late_at)
		return;
	queue->next_late_at = USEC_NEVER;
	list_for_each (it, &queue->levels) {
		list_for_each (jt, &level_of(it)->flows)
			move_late_in_flow(queue, list_entry(jt, wait_flow_t, node), now);
	}
}

/* --- the order --- */

/* First waiter of that kind in the flows from pos on, or NULL. */
static waiter_t *first_in_flows(const wait_level_t *level, list_t *pos, int kind)
{
	for (list_t *it = pos; it != &level->flows; it = it->next) {
		wait_flow_t *flow = list_entry(it, wait_flow_t, node);

		if (!list_empty(&flow->waiters[kind]))
			return waiter_of(flow->waiters[kind].next);
	}
	return NULL;
}

/*
 * The lower priority to which most work is due before the highest, or NULL. The highest is the
 * first one with waiters on time.
 */
static wait_level_t *find_due_level(const wait_queue_t *queue)
{
	wait_level_t *due = NULL;
	bool has_highest = false;

	list_for_each (it, &queue->levels) {
		wait_level_t *level = level_of(it);

		if (level->counts[ON_TIME] == 0)
			continue;
		if (has_highest && level->floor_credit > 0 &&
		    (due == NULL || level->floor_credit > due->floor_credit))
			due = level;
		has_highest = true;
	}
	return due;
}

/*
 * Gives each customer that is at the start of the order its quantum, until one may be served. A
 * customer is passed over as often as its last statement took more than its turn.
 */
static void start_turn(wait_level_t *level, int kind)
{
	for (;;) {
		const waiter_t *waiter = first_in_flows(level, level->flows.next, kind);
		wait_flow_t *flow = waiter->flow;

		if (flow->deficit > 0)
			return;
		flow->deficit += WAIT_QUEUE_QUANTUM;
		if (flow->deficit > 0)
			return;
		list_del(&flow->node);
		list_add_tail(&level->flows, &flow->node);
	}
}

/* First waiter of that kind in the levels from pos on, leaving out one level, or NULL. */
static waiter_t *first_in_levels(wait_queue_t *queue, list_t *pos, int kind,
				 const wait_level_t *left_out)
{
	for (list_t *it = pos; it != &queue->levels; it = it->next) {
		const wait_level_t *level = level_of(it);

		if ((left_out == NULL || level != left_out) && level->counts[kind] != 0)
			return first_in_flows(level, level->flows.next, kind);
	}
	return NULL;
}

static void start_turns(wait_queue_t *queue)
{
	list_for_each (it, &queue->levels) {
		wait_level_t *level = level_of(it);

		if (level->counts[ON_TIME] != 0)
			start_turn(level, ON_TIME);
		else if (queue->counts[ON_TIME] == 0 && level->counts[LATE] != 0)
			start_turn(level, LATE);
	}
}

waiter_t *wait_queue_first(wait_queue_t *queue, usec_t now)
{
	const wait_level_t *due;
	waiter_t *waiter;

	move_late(queue, now);
	start_turns(queue);
	due = find_due_level(queue);
	if (due != NULL)
		return first_in_flows(due, due->flows.next, ON_TIME);
	waiter = first_in_levels(queue, queue->levels.next, ON_TIME, NULL);
	return waiter != NULL ? waiter : first_in_levels(queue, queue->levels.next, LATE, NULL);
}

waiter_t *wait_queue_next(wait_queue_t *queue, const waiter_t *waiter)
{
	const wait_flow_t *flow = waiter->flow;
	wait_level_t *level = flow->level;
	const wait_level_t *due = waiter->late ? NULL : find_due_level(queue);
	int kind = waiter->late ? LATE : ON_TIME;
	waiter_t *next;

	if (waiter->node.next != &flow->waiters[kind])
		return waiter_of(waiter->node.next);
	next = first_in_flows(level, flow->node.next, kind);
	if (next == NULL)
		next = first_in_levels(queue, level == due ? queue->levels.next : level->node.next,
				       kind, due);
	if (next == NULL && kind == ON_TIME)
		next = first_in_levels(queue, queue->levels.next, LATE, NULL);
	return next;
}

/* Number of priorities below the level's with waiters on time. */
static int64_t count_lower(const wait_queue_t *queue, const wait_level_t *level)
{
	int64_t count = 0;

	for (const list_t *it = level->node.next; it != &queue->levels; it = it->next)
		count += list_entry(it, const wait_level_t, node)->counts[ON_TIME] != 0;
	return count;
}

static int64_t clamp(int64_t value, int64_t min, int64_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

/* Adds work to what is due to the priority, which is not saved up for long. */
static void add_floor_credit(wait_level_t *level, int64_t work)
{
	level->floor_credit =
		clamp(level->floor_credit + work, -FLOOR_DEBT_MAX, (int64_t)WAIT_QUEUE_QUANTUM);
}

/* Credits the lower priorities with a part of the work done for this one. */
static void credit_lower(wait_queue_t *queue, const wait_level_t *level, int64_t work)
{
	int64_t lower = count_lower(queue, level);

	for (list_t *it = level->node.next; lower != 0 && it != &queue->levels; it = it->next) {
		if (level_of(it)->counts[ON_TIME] != 0)
			add_floor_credit(level_of(it), work / WAIT_QUEUE_FLOOR_DIVISOR / lower);
	}
}

/* Charges the work to its priority, also if no higher one waited. */
static void charge_floor(wait_queue_t *queue, waiter_t *waiter)
{
	wait_level_t *level = waiter->flow->level;
	int64_t credit = level->floor_credit;

	if (waiter->late)
		return;
	add_floor_credit(level, -(int64_t)waiter->work);
	waiter->floor_charge = credit - level->floor_credit;
	credit_lower(queue, level, (int64_t)waiter->work);
}

/* A customer that is served out of its turn keeps its place, with a debt. */
static void charge_turn(waiter_t *waiter)
{
	wait_flow_t *flow = waiter->flow;
	int64_t deficit = flow->deficit;

	/* Statements served while those of other customers could not be are not held against it. */
	flow->deficit = clamp(deficit - (int64_t)waiter->work, -DEBT_MAX(waiter), deficit);
	waiter->turn_charge = deficit - flow->deficit;
	if (deficit <= 0 || flow->deficit > 0)
		return;
	list_del(&flow->node);
	list_add_tail(&flow->level->flows, &flow->node);
}

/* Returns the charge; the customer goes on with its turn if the charge ended it. */
static void refund_turn(wait_flow_t *flow, int64_t charge)
{
	bool had_ended = flow->deficit <= 0;

	flow->deficit = clamp(flow->deficit + charge, -(int64_t)WAIT_QUEUE_WORK_MAX,
			      (int64_t)WAIT_QUEUE_QUANTUM);
	if (!had_ended || flow->deficit <= 0)
		return;
	list_del(&flow->node);
	list_add_before(flow->level->flows.next, &flow->node);
}

void wait_queue_on_served(wait_queue_t *queue, waiter_t *waiter)
{
	waiter->charged = true;
	charge_floor(queue, waiter);
	charge_turn(waiter);
}

void wait_queue_on_refused(wait_queue_t *queue, waiter_t *waiter)
{
	wait_level_t *level = find_level(queue, waiter->priority);
	wait_flow_t *flow = level != NULL ? find_flow(level, waiter->customer) : NULL;

	if (!waiter->charged)
		return;
	waiter->charged = false;
	/* What was charged to a level or flow that has been empty since went with it. */
	if (level != NULL && !waiter->late) {
		add_floor_credit(level, waiter->floor_charge);
		credit_lower(queue, level, -(int64_t)waiter->work);
	}
	if (flow != NULL)
		refund_turn(flow, waiter->turn_charge);
}

static usec_t demand_of(const wait_flow_t *flow)
{
	return flow->work[ON_TIME].all + flow->usage;
}

waiter_t *wait_queue_displaced_by(wait_queue_t *queue, const waiter_t *waiter, usec_t now)
{
	const wait_flow_t *most = waiter->flow;

	move_late(queue, now);
	list_for_each (it, &waiter->flow->level->flows) {
		const wait_flow_t *flow = list_entry(it, wait_flow_t, node);

		if (!list_empty(&flow->waiters[ON_TIME]) && demand_of(flow) > demand_of(most))
			most = flow;
	}
	return most != waiter->flow ? waiter_of(most->waiters[ON_TIME].prev) : NULL;
}

/* --- amounts --- */

size_t wait_queue_len(const wait_queue_t *queue)
{
	return queue->counts[ON_TIME] + queue->counts[LATE];
}

bool wait_queue_has_on_time(wait_queue_t *queue, usec_t now)
{
	move_late(queue, now);
	return queue->counts[ON_TIME] != 0;
}

usec_t wait_queue_on_time_since(wait_queue_t *queue, int64_t priority, usec_t now)
{
	usec_t since = USEC_NEVER;

	move_late(queue, now);
	list_for_each (it, &queue->levels) {
		const wait_level_t *level = level_of(it);

		if (level->priority <= priority && level->counts[ON_TIME] != 0 &&
		    level->on_time_since < since)
			since = level->on_time_since;
	}
	return since;
}

static void add_sum(wait_work_t *sum, wait_work_t part)
{
	sum->all += part.all;
	sum->primary += part.primary;
}

wait_work_t wait_queue_work(const wait_queue_t *queue)
{
	wait_work_t sum = {0};

	list_for_each (it, &queue->levels) {
		add_sum(&sum, list_entry(it, const wait_level_t, node)->work[ON_TIME]);
		add_sum(&sum, list_entry(it, const wait_level_t, node)->work[LATE]);
	}
	return sum;
}

/* The part of a flow's work that is served while another one has that much served. */
static wait_work_t limit_work(wait_work_t work, usec_t limit)
{
	if (work.all <= limit)
		return work;
	return (wait_work_t){
		.all = limit,
		.primary = (usec_t)((double)work.primary * (double)limit / (double)work.all)};
}

/* Work ahead of the waiter in its own level, of its own kind. */
static wait_work_t work_ahead_in_level(const waiter_t *waiter)
{
	const wait_flow_t *flow = waiter->flow;
	int kind = waiter->late ? LATE : ON_TIME;
	wait_work_t ahead = {0};
	usec_t turn;

	for (list_t *it = flow->waiters[kind].next; it != &waiter->node; it = it->next)
		add_work(&ahead, waiter_of(it));
	/* Customers whose turn comes first are a turn ahead of those that follow. */
	turn = ahead.all + waiter->work;
	list_for_each (it, &flow->level->flows) {
		const wait_flow_t *other = list_entry(it, wait_flow_t, node);

		if (other == flow)
			turn -= waiter->work;
		else
			add_sum(&ahead, limit_work(other->work[kind], turn));
	}
	return ahead;
}

/* Number of priorities, but for the highest, that have waiters on time. */
static size_t count_lower_levels(const wait_queue_t *queue)
{
	size_t count = 0;

	list_for_each (it, &queue->levels)
		count += level_of(it)->counts[ON_TIME] != 0;
	return count > 1 ? count - 1 : 1;
}

wait_work_t wait_queue_work_ahead(wait_queue_t *queue, const waiter_t *waiter, usec_t now)
{
	wait_work_t higher = {0};
	wait_work_t sum;
	usec_t own;

	move_late(queue, now);
	sum = work_ahead_in_level(waiter);
	own = sum.all + waiter->work;
	list_for_each (it, &queue->levels) {
		const wait_level_t *level = level_of(it);

		if (level->priority < waiter->priority)
			add_sum(&higher, level->work[waiter->late ? LATE : ON_TIME]);
		if (waiter->late)
			add_sum(&sum, level->work[ON_TIME]);
	}
	/* The floor limits how long higher priorities are served first. */
	if (!waiter->late)
		higher = limit_work(higher,
				    own * WAIT_QUEUE_FLOOR_DIVISOR * count_lower_levels(queue));
	add_sum(&sum, higher);
	return sum;
}

size_t wait_queue_priorities(const wait_queue_t *queue, wait_priority_t *priorities, size_t max)
{
	size_t count = 0;
	usec_t work = 0;

	list_for_each (it, &queue->levels) {
		const wait_level_t *level = list_entry(it, const wait_level_t, node);

		if (count == max)
			break;
		work += level->work[ON_TIME].all + level->work[LATE].all;
		priorities[count++] = (wait_priority_t){
			level->priority, level->counts[ON_TIME] + level->counts[LATE], work};
	}
	return count;
}
