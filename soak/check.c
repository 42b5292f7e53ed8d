#include "check.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "finding.h"

#define MSEC USEC_PER_MSEC
/*
 * The record arrives in portions; an entry may still be in flight when the record has reached the
 * time of the answer.
 */
#define RECORD_SLACK (300 * MSEC)
/*
 * Number of acknowledged commits before a read that are checked; older ones precede these in the
 * log.
 */
#define ACKS_CHECKED_MAX 300
/*
 * A late commit is allowed if the proxy was paused, or its message delayed, and the fault ended no
 * longer than this before the commit.
 */
#define FAULT_END_SLACK (300 * MSEC)

static const run_t *find_run(const statement_t *statement)
{
	for (const run_t *run = statement->runs; run != NULL; run = run->next) {
		char signature[80];

		snprintf(signature, sizeof(signature), "%.47s.%" PRIu64, run->member,
			 run->signature_number);
		if (strcmp(signature, statement->signature) == 0)
			return run;
	}
	return NULL;
}

/* --- reads --- */

/*
 * Adds a finding if the read does not show the acknowledged write, unless the write was rolled back
 * by a promote.
 */
static void check_read_includes(const ledger_t *ledger, const statement_t *read, const run_t *run,
				const statement_t *acknowledged, const statement_t *write)
{
	unsigned service = read->attempt->service;
	usec_t rolled_back_at;

	for (const commit_t *commit = write->commits; commit != NULL; commit = commit->next) {
		if (ledger_log_includes(ledger, service, run->log_position, commit->position) ||
		    ledger_was_rolled_back(ledger, service, commit->position, &rolled_back_at))
			continue;
		finding_add(PROMISE_STALE, read->id,
			    "read at %s with log %" PRIu64 ".%" PRIu64
			    " lacks %s, committed as %" PRIu64 ".%" PRIu64
			    " and acknowledged %.1f ms before the read began",
			    run->member, run->log_position.term, run->log_position.number,
			    write->id, commit->position.term, commit->position.number,
			    (double)(read->attempt->began_at - acknowledged->ended_at) / MSEC);
		return;
	}
}

/*
 * If the log of the read includes the highest of the commits that it must show, it includes all of
 * them but those that were rolled back. Otherwise they are checked one by one.
 */
static void check_read_freshness(ledger_t *ledger, const statement_t *read, const run_t *run)
{
	const attempt_t *attempt = read->attempt;
	const statement_t *previous = attempt->previous_commit;
	const GArray *acks = ledger->services[attempt->service].acks;
	guint count =
		ledger_count_acks(ledger, attempt->service, attempt->began_at - attempt->max_age);
	position_t newest = ledger_newest_commit(ledger, attempt->service, count);
	guint unchecked = count;

	if (ledger_log_includes(ledger, attempt->service, run->log_position, newest))
		unchecked = 0;
	for (guint i = count; i > count - MIN(unchecked, ACKS_CHECKED_MAX); i--) {
		const ack_t *ack = &g_array_index(acks, ack_t, i - 1);

		check_read_includes(ledger, read, run, ack->statement, ack->write);
	}
	if (attempt->reads == READS_OWN_WRITES && previous != NULL &&
	    previous->status == STATUS_DONE && ledger_find_acknowledged_write(previous) != NULL)
		check_read_includes(ledger, read, run, previous,
				    ledger_find_acknowledged_write(previous));
}

/* --- writes --- */

static bool was_delayed_by_fault(const fleet_t *fleet, const statement_t *write,
				 const commit_t *commit)
{
	const proxy_t *proxy = &fleet->proxies[write->proxy];

	return fleet_spans_overlap(proxy->disturbances, commit->at - FAULT_END_SLACK, commit->at) ||
	       fleet_spans_overlap(fleet->member_faults[write->attempt->service], write->sent_at,
				   commit->at);
}

static void check_write_kept(const clients_t *clients, const statement_t *acknowledged,
			     const statement_t *write)
{
	const ledger_t *ledger = clients->ledger;
	unsigned service = write->attempt->service;
	usec_t rolled_back_at;

	if (write->commits == NULL) {
		finding_add(PROMISE_LOST_WRITE, write->id,
			    "acknowledged as %s, but no member has committed it", acknowledged->id);
		return;
	}
	for (const commit_t *commit = write->commits; commit != NULL; commit = commit->next) {
		if (!ledger_was_rolled_back(ledger, service, commit->position, &rolled_back_at) ||
		    commit->at <= rolled_back_at ||
		    was_delayed_by_fault(clients->fleet, write, commit))
			continue;
		finding_add(PROMISE_SUPERSEDED, write->id,
			    "acknowledged as %s, committed as %" PRIu64 ".%" PRIu64
			    " %.1f ms after the next primary led",
			    acknowledged->id, commit->position.term, commit->position.number,
			    (double)(commit->at - rolled_back_at) / MSEC);
	}
}

static void check_answer(const clients_t *clients, const statement_t *statement)
{
	const run_t *run;

	if (statement->kind == KIND_SETUP || statement->kind == KIND_BEGIN ||
	    statement->kind == KIND_ROLLBACK)
		return;
	run = find_run(statement);
	if (run == NULL) {
		finding_add(PROMISE_MIXED, statement->id, "\"%s\": no member signed \"%s\"",
			    statement->text, statement->signature);
		return;
	}
	if (strcmp(run->row, statement->row) != 0)
		finding_add(PROMISE_MIXED, statement->id,
			    "\"%s\": got row \"%s\", but %s sent \"%s\"", statement->text,
			    statement->row, run->member, run->row);
	if (statement->kind == KIND_READ)
		check_read_freshness(clients->ledger, statement, run);
}

void check_answers(clients_t *clients, usec_t until)
{
	const run_clock_t *clock = clients->fleet->loop->clock;
	guint done = 0;

	while (done < clients->unchecked->len && clock_now(clock) < until) {
		const statement_t *statement = clients->unchecked->pdata[done];

		if (statement->ended_at + RECORD_SLACK > clients->ledger->complete_until)
			break;
		check_answer(clients, statement);
		done++;
	}
	if (done != 0)
		g_ptr_array_remove_range(clients->unchecked, 0, done);
}

/* --- the whole run --- */

static void check_attempt(const ledger_t *ledger, const attempt_t *attempt)
{
	const statement_t *kept = ledger_find_committed_write(attempt);
	usec_t rolled_back_at;

	if (kept != NULL && attempt->refused)
		finding_add(PROMISE_REFUSED, kept->id, "committed, although its caller received %s",
			    attempt->last->error_code);
	for (const statement_t *it = attempt->first; it != NULL; it = it->next) {
		size_t count = 0;

		for (const commit_t *commit = it->commits; commit != NULL; commit = commit->next)
			count += !ledger_was_rolled_back(ledger, attempt->service, commit->position,
							 &rolled_back_at);
		if (count > 1)
			finding_add(PROMISE_TWICE, it->id, "committed %zu times", count);
	}
}

static void check_acknowledged(const clients_t *clients, const statement_t *acknowledged)
{
	if (acknowledged->kind == KIND_WRITE) {
		check_write_kept(clients, acknowledged, acknowledged);
		return;
	}
	for (const statement_t *it = acknowledged->attempt->first; it != NULL; it = it->next) {
		if (it->kind == KIND_WRITE && it->status == STATUS_DONE)
			check_write_kept(clients, acknowledged, it);
	}
}

void check_whole_run(clients_t *clients)
{
	const ledger_t *ledger = clients->ledger;

	check_answers(clients, USEC_NEVER);
	for (const attempt_t *it = ledger->attempts; it != NULL; it = it->next)
		check_attempt(ledger, it);
	for (unsigned i = 0; i < SERVICES_MAX; i++) {
		const GArray *acks = ledger->services[i].acks;

		for (guint k = 0; k < acks->len; k++)
			check_acknowledged(clients, g_array_index(acks, ack_t, k).statement);
	}
}
