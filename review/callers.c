/* Callers with sessions: values, a prepared statement, lone statements and transactions. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITES_TRACKED 200000
#define RECONNECT_MS   150.0
#define GIVE_UP_MS     5000.0

enum {
	PHASE_CLOSED,
	PHASE_START,
	PHASE_SET,
	PHASE_PREPARE,
	PHASE_IDLE,
	PHASE_LONE,
	PHASE_BEGIN,
	PHASE_TX,
	PHASE_COMMIT,
	PHASE_ROLLBACK,
};

typedef struct write {
	char item[24];
	char data[24];
	char id[24];
} write_t;

caller_stats_t caller_stats;

static caller_config_t config;
static caller_t *callers;
static int count;
static bool stopping;
static double hurry = 1;
static write_t *writes;
static size_t write_count;
static unsigned data_serial;

static void connect_caller(void *arg);
static void next_operation(void *arg);

const caller_t *caller_of_id(const char *id, unsigned *seq)
{
	unsigned index;

	if (sscanf(id, "c%4xs%8x", &index, seq) != 2 || (int)index >= count)
		return NULL;
	return &callers[index];
}

static void close_session(caller_t *caller)
{
	if (caller->conn != NULL)
		conn_close(caller->conn);
	caller->conn = NULL;
	caller->phase = PHASE_CLOSED;
	caller->busy = false;
	caller->in_tx = false;
	after_ms(RECONNECT_MS * (0.5 + random_unit()), connect_caller, caller);
}

static void query(caller_t *caller, int phase, const char *text)
{
	char id[24];

	caller->seq++;
	caller->phase = phase;
	caller->busy = true;
	caller->sent_at = now_ms();
	snprintf(caller->text, sizeof(caller->text), "%s", text);
	snprintf(id, sizeof(id), "c%04xs%08x", caller->index, caller->seq);
	conn_printf(caller->conn, "QUERY %s %s\r\n", id, text);
}

static void track_write(const caller_t *caller, const char *item, const char *data)
{
	write_t *write;

	if (write_count == WRITES_TRACKED)
		return;
	write = &writes[write_count++];
	snprintf(write->item, sizeof(write->item), "%s", item);
	snprintf(write->data, sizeof(write->data), "%s", data);
	snprintf(write->id, sizeof(write->id), "c%04xs%08x", caller->index, caller->seq);
	caller_stats.acknowledged_writes++;
}

void callers_check_writes(void)
{
	for (size_t i = 0; i < write_count; i++) {
		bool rolled_back;

		if (members_have(writes[i].item, writes[i].data, &rolled_back) || rolled_back)
			continue;
		caller_stats.lost_writes++;
		record("acknowledged write is not kept: %s WRITE %s %s", writes[i].id,
		       writes[i].item, writes[i].data);
	}
}

/* --- operations --- */

static void new_write(caller_t *caller, char *text, size_t size)
{
	snprintf(caller->item, sizeof(caller->item), "k%u", (unsigned)(random_unit() * 500));
	snprintf(caller->data, sizeof(caller->data), "d%u", ++data_serial);
	snprintf(text, size, "WRITE %s %s", caller->item, caller->data);
}

static void send_statement(caller_t *caller, int phase, bool writing)
{
	char text[120];

	if (writing && caller->prepared && random_unit() < 0.5) {
		new_write(caller, text, sizeof(text));
		snprintf(text, sizeof(text), "EXEC w1 %s %s", caller->item, caller->data);
	} else if (writing) {
		new_write(caller, text, sizeof(text));
	} else {
		caller->data[0] = '\0';
		snprintf(text, sizeof(text), "READ k%u", (unsigned)(random_unit() * 500));
	}
	query(caller, phase, text);
}

static void next_tx_statement(void *arg)
{
	caller_t *caller = arg;

	if (caller->conn == NULL || caller->phase != PHASE_TX || caller->busy)
		return;
	if (caller->tx_left-- > 0)
		send_statement(caller, PHASE_TX, random_unit() < 0.5);
	else
		query(caller, PHASE_COMMIT, "COMMIT");
}

static void next_operation(void *arg)
{
	caller_t *caller = arg;

	if (caller->conn == NULL || caller->phase != PHASE_IDLE || stopping)
		return;
	caller->tx_write_count = 0;
	if (random_unit() < config.tx_part) {
		caller->tx_serial++;
		caller->tx_left = 1 + (int)(random_unit() * 3);
		query(caller, PHASE_BEGIN, "BEGIN");
	} else {
		send_statement(caller, PHASE_LONE, random_unit() < config.write_part);
	}
}

static void rest(caller_t *caller)
{
	caller->phase = PHASE_IDLE;
	caller->in_tx = false;
	after_ms(random_exponential(config.pause_ms / hurry), next_operation, caller);
}

static void prepare_session(caller_t *caller)
{
	char text[80];

	if (caller->phase == PHASE_START && caller->value_count > 0) {
		/* The values are those that the answer acknowledges. */
		snprintf(text, sizeof(text), "SET %s %s", caller->values[0][0],
			 caller->values[0][1]);
		query(caller, PHASE_SET, text);
	} else if (caller->phase == PHASE_START || caller->phase == PHASE_SET) {
		snprintf(text, sizeof(text), "PREPARE w1 WRITE q%dc", caller->index % 7);
		query(caller, PHASE_PREPARE, text);
	} else {
		caller->prepared = true;
		rest(caller);
	}
}

/* --- replies --- */

static void count_reply(const caller_t *caller)
{
	caller_stats.answered++;
	caller_stats.succeeded += caller->done;
	if (!caller->done && strcmp(caller->code, "INDOUBT") == 0)
		caller_stats.in_doubt++;
	else if (!caller->done)
		caller_stats.refused++;
}

static void on_statement_answered(caller_t *caller, char state)
{
	bool wrote = caller->data[0] != '\0';

	count_reply(caller);
	if (caller->phase == PHASE_LONE) {
		if (caller->done && wrote)
			track_write(caller, caller->item, caller->data);
		if (state != 'I')
			close_session(caller);
		else
			rest(caller);
		return;
	}
	if (!caller->done || state != 'T') {
		close_session(caller);
		return;
	}
	if (wrote && caller->tx_write_count < 4) {
		snprintf(caller->tx_writes[caller->tx_write_count][0], 24, "%s", caller->item);
		snprintf(caller->tx_writes[caller->tx_write_count++][1], 24, "%s", caller->data);
	}
	after_ms(8, next_tx_statement, caller);
}

static void on_reply(caller_t *caller, char state)
{
	caller->busy = false;
	record("caller %d: %s answered %s%s, state %c, after %.0f ms", caller->index, caller->text,
	       caller->done ? "DONE" : caller->code, caller->is_signed ? " signed" : "", state,
	       now_ms() - caller->sent_at);
	switch (caller->phase) {
	case PHASE_START:
		if (state == 'I')
			prepare_session(caller);
		else
			close_session(caller);
		break;
	case PHASE_SET:
	case PHASE_PREPARE:
		if (caller->done)
			prepare_session(caller);
		else
			close_session(caller);
		break;
	case PHASE_BEGIN:
		if (caller->done && state == 'T') {
			caller->in_tx = true;
			caller->phase = PHASE_TX;
			after_ms(8, next_tx_statement, caller);
		} else {
			close_session(caller);
		}
		break;
	case PHASE_COMMIT:
		count_reply(caller);
		for (int i = 0; caller->done && i < caller->tx_write_count; i++)
			track_write(caller, caller->tx_writes[i][0], caller->tx_writes[i][1]);
		if (state == 'I')
			rest(caller);
		else
			close_session(caller);
		break;
	default:
		on_statement_answered(caller, state);
	}
}

static void on_input(conn_t *conn)
{
	caller_t *caller = conn->owner;
	char line[400];

	while (caller->conn == conn && conn_line(conn, line, sizeof(line))) {
		if (strncmp(line, "DONE ", 5) == 0) {
			caller->done = true;
			caller->is_signed = strcmp(line, "DONE -") != 0;
		} else if (strncmp(line, "ERR ", 4) == 0) {
			sscanf(line, "ERR %23s", caller->code);
			if (caller->phase == PHASE_START)
				on_reply(caller, '-');
		} else if (strncmp(line, "READY ", 6) == 0) {
			on_reply(caller, line[6]);
			caller->done = false;
			caller->is_signed = false;
			caller->code[0] = '\0';
		}
	}
}

static void on_closed(conn_t *conn)
{
	caller_t *caller = conn->owner;

	if (caller->conn != conn)
		return;
	caller->conn = NULL;
	if (caller->busy)
		record("caller %d: %s, connection closed after %.0f ms", caller->index,
		       caller->text, now_ms() - caller->sent_at);
	close_session(caller);
}

static const conn_ops_t ops = {.on_input = on_input, .on_closed = on_closed};

static void connect_caller(void *arg)
{
	caller_t *caller = arg;

	if (caller->conn != NULL || stopping)
		return;
	caller->proxy = (int)(random_unit() * proxy_count);
	caller->conn = conn_connect(proxies[caller->proxy].port, &ops, caller);
	if (caller->conn == NULL) {
		after_ms(RECONNECT_MS, connect_caller, caller);
		return;
	}
	caller->phase = PHASE_START;
	caller->busy = true;
	caller->prepared = false;
	caller->sent_at = now_ms();
	snprintf(caller->text, sizeof(caller->text), "START");
	conn_printf(caller->conn, "START %s %s\r\n", caller->database, caller->key);
}

/* Finds statements that nobody answers. */
static void on_check(void *arg)
{
	for (int i = 0; i < count; i++) {
		caller_t *caller = &callers[i];

		if (!caller->busy || now_ms() < caller->sent_at + GIVE_UP_MS)
			continue;
		caller_stats.unanswered++;
		record("caller %d: %s to proxy %d is not answered after %.0f ms", caller->index,
		       caller->text, caller->proxy, now_ms() - caller->sent_at);
		close_session(caller);
	}
	after_ms(200, on_check, arg);
}

void callers_start(const caller_config_t *new_config, int new_count)
{
	config = *new_config;
	count = new_count;
	callers = calloc((size_t)count, sizeof(*callers));
	writes = calloc(WRITES_TRACKED, sizeof(*writes));
	for (int i = 0; i < count; i++) {
		caller_t *caller = &callers[i];

		caller->index = i;
		snprintf(caller->database, sizeof(caller->database), "%s",
			 config.database_names[i % config.databases]);
		snprintf(caller->key, sizeof(caller->key), "who%d", i % 10);
		if (random_unit() < config.set_part) {
			caller->value_count = 1;
			snprintf(caller->values[0][0], 24, "lang");
			snprintf(caller->values[0][1], 24, "v%d", i % 5);
		}
		after_ms(random_unit() * 1000, connect_caller, caller);
	}
	on_check(NULL);
}

void callers_hurry(double times)
{
	hurry = times;
}

void callers_stop(void)
{
	stopping = true;
}
