#include "ledger.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "finding.h"

#define FIELDS_MAX 12
/* Terms start at 1; the first promote starts term 2. */
#define FIRST_PROMOTED_TERM 2

static const char *const service_names[SERVICES_MAX] = {"core",	 "ledger", "fleet", "stock",
							"depot", "crew",   "rota",  "map"};

const char *ledger_service_name(unsigned service)
{
	return service_names[service];
}

unsigned ledger_service_number(const char *name)
{
	size_t len = strcspn(name, "-");

	for (unsigned i = 0; i < SERVICES_MAX; i++) {
		if (strlen(service_names[i]) == len && strncmp(name, service_names[i], len) == 0)
			return i;
	}
	return 0;
}

/* --- what callers do --- */

static int destructor(ledger_t *ledger)
{
	for (size_t i = 0; i < SERVICES_MAX; i++) {
		g_array_unref(ledger->services[i].branches);
		g_array_unref(ledger->services[i].acks);
	}
	g_hash_table_unref(ledger->statements);
	g_hash_table_unref(ledger->transactions);
	return 0;
}

ledger_t *ledger_create(void *parent)
{
	ledger_t *ledger = talloc_zero(parent, ledger_t);

	ledger->statements = g_hash_table_new(g_str_hash, g_str_equal);
	ledger->transactions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < SERVICES_MAX; i++) {
		ledger->services[i].branches = g_array_new(FALSE, TRUE, sizeof(branch_t));
		ledger->services[i].acks = g_array_new(FALSE, FALSE, sizeof(ack_t));
	}
	talloc_set_destructor(ledger, destructor);
	return ledger;
}

attempt_t *ledger_add_attempt(ledger_t *ledger, unsigned service, read_kind_t reads, usec_t max_age)
{
	attempt_t *attempt = talloc_zero(ledger, attempt_t);

	attempt->service = service;
	attempt->reads = reads;
	attempt->max_age = max_age;
	attempt->next = ledger->attempts;
	ledger->attempts = attempt;
	return attempt;
}

statement_t *ledger_add_statement(ledger_t *ledger, attempt_t *attempt, statement_kind_t kind)
{
	statement_t *statement = talloc_zero(attempt, statement_t);

	statement->attempt = attempt;
	statement->kind = kind;
	snprintf(statement->id, sizeof(statement->id), "q%" PRIu64, ++ledger->last_id);
	if (attempt->last != NULL)
		attempt->last->next = statement;
	else
		attempt->first = statement;
	attempt->last = statement;
	if (kind == KIND_COMMIT)
		attempt->commit_requested = true;
	g_hash_table_insert(ledger->statements, statement->id, statement);
	return statement;
}

statement_t *ledger_find_acknowledged_write(const statement_t *statement)
{
	const attempt_t *attempt = statement->attempt;
	statement_t *write = NULL;

	if (statement->kind != KIND_COMMIT && (statement->kind != KIND_WRITE || attempt->in_tx))
		return NULL;
	for (statement_t *it = attempt->first; it != NULL; it = it->next) {
		if (it->kind == KIND_WRITE && it->status == STATUS_DONE)
			write = it;
	}
	return write;
}

static void add_ack(ledger_t *ledger, const statement_t *statement)
{
	GArray *acks = ledger->services[statement->attempt->service].acks;
	statement_t *write = ledger_find_acknowledged_write(statement);
	const ack_t ack = {.statement = statement, .write = write};

	if (write == NULL)
		return;
	g_array_append_val(acks, ack);
	write->ack_number = acks->len;
}

void ledger_record_answer(ledger_t *ledger, statement_t *statement, statement_status_t status,
			  usec_t now)
{
	statement->status = status;
	statement->ended_at = now;
	if (status == STATUS_REFUSED)
		statement->attempt->refused = true;
	if (status == STATUS_DONE)
		add_ack(ledger, statement);
}

guint ledger_count_acks(const ledger_t *ledger, unsigned service, usec_t before)
{
	const GArray *acks = ledger->services[service].acks;
	guint low = 0;
	guint high = acks->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(acks, ack_t, middle).statement->ended_at < before)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool position_is_before(position_t left, position_t right)
{
	return left.term < right.term || (left.term == right.term && left.number < right.number);
}

position_t ledger_newest_commit(ledger_t *ledger, unsigned service, guint count)
{
	ledger_service_t *entry = &ledger->services[service];

	for (; entry->ranked_acks < count; entry->ranked_acks++) {
		ack_t *ack = &g_array_index(entry->acks, ack_t, entry->ranked_acks);

		ack->newest = entry->ranked_acks != 0 ? ack[-1].newest : (position_t){0};
		for (const commit_t *it = ack->write->commits; it != NULL; it = it->next) {
			if (position_is_before(ack->newest, it->position))
				ack->newest = it->position;
		}
	}
	return count != 0 ? g_array_index(entry->acks, ack_t, count - 1).newest : (position_t){0};
}

const statement_t *ledger_find_committed_write(const attempt_t *attempt)
{
	for (const statement_t *it = attempt->first; it != NULL; it = it->next) {
		if (it->commits != NULL)
			return it;
	}
	return NULL;
}

/* --- logs --- */

uint64_t ledger_newest_term(const ledger_t *ledger, unsigned service)
{
	return ledger->services[service].branches->len + FIRST_PROMOTED_TERM - 1;
}

const branch_t *ledger_find_branch(const ledger_t *ledger, unsigned service, uint64_t term)
{
	const GArray *branches = ledger->services[service].branches;
	const branch_t *branch;

	if (term < FIRST_PROMOTED_TERM || term - FIRST_PROMOTED_TERM >= branches->len)
		return NULL;
	branch = &g_array_index(branches, branch_t, term - FIRST_PROMOTED_TERM);
	return branch->at != 0 ? branch : NULL;
}

bool ledger_log_includes(const ledger_t *ledger, unsigned service, position_t log,
			 position_t position)
{
	/* Walk back from branch to branch until the term of the commit. */
	while (log.term > position.term) {
		const branch_t *branch = ledger_find_branch(ledger, service, log.term);

		if (branch == NULL)
			return false;
		log = branch->base;
	}
	return log.term == position.term && log.number >= position.number;
}

bool ledger_was_rolled_back(const ledger_t *ledger, unsigned service, position_t position,
			    usec_t *at)
{
	uint64_t newest = ledger_newest_term(ledger, service);

	for (uint64_t term = position.term + 1; term <= newest; term++) {
		const branch_t *branch = ledger_find_branch(ledger, service, term);

		if (branch == NULL || ledger_log_includes(ledger, service, branch->base, position))
			continue;
		*at = branch->at;
		return true;
	}
	return false;
}

/* --- the record of the members --- */

static position_t parse_position(const char *text)
{
	position_t position = {.term = strtoull(text, NULL, 10)};
	const char *dot = strchr(text, '.');

	position.number = dot != NULL ? strtoull(dot + 1, NULL, 10) : 0;
	return position;
}

/*
 * Finds the last value of name in the text "name value;name value;". Returns its start, with its
 * length in *len, or NULL.
 */
static const char *find_value(const char *values, const char *name, size_t *len)
{
	const char *found = NULL;
	size_t name_len = strlen(name);

	for (const char *at = values; *at != '\0';) {
		size_t entry = strcspn(at, ";");

		if (entry > name_len && strncmp(at, name, name_len) == 0 && at[name_len] == ' ') {
			found = at + name_len + 1;
			*len = entry - name_len - 1;
		}
		at += at[entry] == ';' ? entry + 1 : entry;
	}
	return found;
}

static bool has_same_value(const char *left, const char *right, const char *name)
{
	size_t left_len = 0;
	size_t right_len = 0;
	const char *a = find_value(left, name, &left_len);
	const char *b = find_value(right, name, &right_len);

	if (a == NULL || b == NULL)
		return a == b;
	return left_len == right_len && strncmp(a, b, left_len) == 0;
}

/*
 * Returns true if two statement texts are the same. The name of a prepared statement in "EXEC name
 * item data" may differ.
 */
static bool has_same_text(const char *sent, const char *ran)
{
	if (strncmp(sent, "EXEC ", 5) != 0 || strncmp(ran, "EXEC ", 5) != 0)
		return strcmp(sent, ran) == 0;
	sent = strchr(sent + 5, ' ');
	ran = strchr(ran + 5, ' ');
	return sent != NULL && ran != NULL && strcmp(sent, ran) == 0;
}

static void check_transaction(ledger_t *ledger, const statement_t *statement, const char *member,
			      uint64_t tx_number)
{
	attempt_t *attempt = statement->attempt;
	char *key;
	attempt_t *known_attempt;

	if (!attempt->in_tx || tx_number == 0) {
		if (attempt->in_tx != (tx_number != 0))
			finding_add(PROMISE_PINNED, statement->id,
				    "ran in transaction %" PRIu64 " of member %s", tx_number,
				    member);
		return;
	}
	if (attempt->tx_number != 0 && attempt->tx_number != tx_number)
		finding_add(PROMISE_PINNED, statement->id,
			    "ran in transaction %" PRIu64 " of member %s, but began in %" PRIu64,
			    tx_number, member, attempt->tx_number);
	attempt->tx_number = tx_number;
	key = g_strdup_printf("%u %" PRIu64, attempt->service, tx_number);
	known_attempt = g_hash_table_lookup(ledger->transactions, key);
	if (known_attempt != NULL && known_attempt != attempt)
		finding_add(PROMISE_PINNED, statement->id,
			    "ran in transaction %" PRIu64 " of member %s, which belongs to %s",
			    tx_number, member, known_attempt->first->id);
	if (known_attempt == NULL)
		g_hash_table_insert(ledger->transactions, key, attempt);
	else
		g_free(key);
}

static void check_run(ledger_t *ledger, const statement_t *statement, char *const *fields)
{
	static const char *const names[] = {"tz", "lang"};
	const char *values = fields[7];

	if (!has_same_text(statement->text, fields[10]))
		finding_add(PROMISE_UNASKED, statement->id,
			    "sent as \"%s\", but member %s ran \"%s\"", statement->text, fields[3],
			    fields[10]);
	if (strcmp(statement->prepared_shape, fields[8]) != 0)
		finding_add(PROMISE_PINNED, statement->id, "prepared as %s, but ran as %s at %s",
			    statement->prepared_shape, fields[8], fields[3]);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!has_same_value(statement->session_values, values, names[i]))
			finding_add(PROMISE_PINNED, statement->id,
				    "ran with the values \"%s\" at %s, but its session has \"%s\"",
				    values, fields[3], statement->session_values);
	}
	check_transaction(ledger, statement, fields[3], strtoull(fields[4], NULL, 10));
}

static statement_t *find_statement(const ledger_t *ledger, char *const *fields)
{
	statement_t *statement = g_hash_table_lookup(ledger->statements, fields[2]);

	if (statement == NULL)
		finding_add(PROMISE_UNASKED, fields[2],
			    "member %s ran or committed a statement that no caller sent",
			    fields[3]);
	return statement;
}

/* Record of a run: R, time, id, member, transaction, number, log, values, shape, row, text */
static void on_run(ledger_t *ledger, char *const *fields)
{
	statement_t *statement = find_statement(ledger, fields);
	run_t *run;

	if (statement == NULL)
		return;
	run = talloc_zero(statement, run_t);
	run->at = strtoull(fields[1], NULL, 10);
	run->signature_number = strtoull(fields[5], NULL, 10);
	run->log_position = parse_position(fields[6]);
	snprintf(run->member, sizeof(run->member), "%s", fields[3]);
	snprintf(run->row, sizeof(run->row), "%s", fields[9]);
	run->next = statement->runs;
	statement->runs = run;
	check_run(ledger, statement, fields);
}

/* Record of a commit: C, time, id, member, position, item, data */
static void on_commit(ledger_t *ledger, char *const *fields)
{
	statement_t *statement = find_statement(ledger, fields);
	ledger_service_t *service;
	commit_t *commit;

	if (statement == NULL)
		return;
	commit = talloc_zero(statement, commit_t);
	commit->at = strtoull(fields[1], NULL, 10);
	commit->position = parse_position(fields[4]);
	commit->next = statement->commits;
	statement->commits = commit;
	/* The positions of the acknowledgements from this one on are determined again. */
	service = &ledger->services[statement->attempt->service];
	if (statement->ack_number != 0)
		service->ranked_acks = MIN(service->ranked_acks, statement->ack_number - 1);
	if (statement->attempt->in_tx && !statement->attempt->commit_requested)
		finding_add(PROMISE_UNASKED, statement->id,
			    "committed at %s, but its caller has not sent COMMIT", fields[3]);
}

/*
 * Record of a promote at the member: P, time, service, member, term, length, term of the last entry
 */
static void on_promote(ledger_t *ledger, char *const *fields)
{
	GArray *branches = ledger->services[ledger_service_number(fields[2])].branches;
	uint64_t term = strtoull(fields[4], NULL, 10);
	branch_t *branch;

	if (term < FIRST_PROMOTED_TERM)
		return;
	if (branches->len < term - FIRST_PROMOTED_TERM + 1)
		g_array_set_size(branches, (guint)(term - FIRST_PROMOTED_TERM + 1));
	branch = &g_array_index(branches, branch_t, term - FIRST_PROMOTED_TERM);
	branch->at = strtoull(fields[1], NULL, 10);
	branch->base.number = strtoull(fields[5], NULL, 10);
	branch->base.term = strtoull(fields[6], NULL, 10);
	snprintf(branch->member, sizeof(branch->member), "%s", fields[3]);
	ledger->promote_count++;
}

/* Record of a promote call of a proxy: K, time, leader, fencing token, service, member, done */
static void on_promote_call(ledger_t *ledger, char *const *fields)
{
	uint64_t fencing_token = strtoull(fields[3], NULL, 10);

	if (fencing_token < ledger->fencing_token)
		finding_add(PROMISE_ONE_PROMOTE, fields[4],
			    "%s promotes with fencing token %" PRIu64 " after %s with %" PRIu64,
			    fields[2], fencing_token, ledger->leader, ledger->fencing_token);
	else if (fencing_token == ledger->fencing_token && strcmp(fields[2], ledger->leader) != 0)
		finding_add(PROMISE_ONE_PROMOTE, fields[4],
			    "%s and %s promote with the same fencing token %" PRIu64, fields[2],
			    ledger->leader, fencing_token);
	if (fencing_token < ledger->fencing_token)
		return;
	ledger->fencing_token = fencing_token;
	snprintf(ledger->leader, sizeof(ledger->leader), "%s", fields[2]);
}

typedef struct record_kind {
	char letter;
	size_t fields;
	void (*handle)(ledger_t *ledger, char *const *fields);
} record_kind_t;

static const record_kind_t record_kinds[] = {
	{'R', 11, on_run},	   {'C', 7, on_commit}, {'P', 7, on_promote},
	{'K', 7, on_promote_call}, {'S', 3, NULL},
};

static void parse_record(ledger_t *ledger, char *line)
{
	char *fields[FIELDS_MAX] = {line};
	size_t count = 1;

	for (char *tab = strchr(line, '\t'); tab != NULL && count < FIELDS_MAX;
	     tab = strchr(tab + 1, '\t')) {
		*tab = '\0';
		fields[count++] = tab + 1;
	}
	for (size_t i = 0; count > 1 && i < G_N_ELEMENTS(record_kinds); i++) {
		const record_kind_t *kind = &record_kinds[i];

		if (line[0] != kind->letter || count < kind->fields)
			continue;
		if (kind->handle != NULL)
			kind->handle(ledger, fields);
		ledger->complete_until = strtoull(fields[1], NULL, 10);
	}
}

void ledger_parse_output(ledger_t *ledger, const char *data, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (data[i] != '\n') {
			if (ledger->line_len < sizeof(ledger->line) - 1)
				ledger->line[ledger->line_len++] = data[i];
			continue;
		}
		ledger->line[ledger->line_len] = '\0';
		ledger->line_len = 0;
		parse_record(ledger, ledger->line);
	}
}
