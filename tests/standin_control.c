#include "standin_site.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "names.h"
#include "standin_command.h"

/* Length of the longest command: a configuration with a few routes. */
#define LINE_MAX_BYTES 16384

typedef struct command {
	const char *name;
	void (*run)(site_t *site, char *rest);
} command_t;

typedef struct input {
	char line[LINE_MAX_BYTES];
	size_t len;
} input_t;

static input_t input;
static site_t *controlled;

/* --- the record --- */

static void on_ran(fake_events_t *events, const fake_run_t *run)
{
	(void)events;
	printf("R\t%" PRIu64 "\t%s\t%s\t%" PRIu64 "\t%" PRIu64 "\t%" PRIu64 ".%" PRIu64
	       "\t%s\t%s\t%s\t%s\n",
	       run->at, run->id, run->member, run->tx_number, run->run_number, run->log_term,
	       run->log_number, run->values, run->shape, run->row, run->text);
}

static void on_committed(fake_events_t *events, const fake_member_t *member,
			 const fake_entry_t *entry)
{
	(void)events;
	printf("C\t%" PRIu64 "\t%s\t%s\t%" PRIu64 ".%" PRIu64 "\t%s\t%s\n", entry->at, entry->id,
	       member->id, entry->term, entry->number, entry->item, entry->data);
}

static void on_promoted(fake_events_t *events, const fake_member_t *member)
{
	(void)events;
	printf("P\t%" PRIu64 "\t%s\t%s\t%" PRIu64 "\t%zu\t%" PRIu64 "\n",
	       clock_now(member->db->clock), member->db->config.service, member->id, member->term,
	       member->log_len, member->log_len != 0 ? member->log[member->log_len - 1].term : 0);
}

static const fake_events_ops_t events_ops = {
	.ran = on_ran,
	.committed = on_committed,
	.promoted = on_promoted,
};

void control_record_promote(const char *leader, const char *fencing_token, const char *service,
			    const char *id, bool done)
{
	if (controlled == NULL)
		return;
	printf("K\t%" PRIu64 "\t%s\t%s\t%s\t%s\t%d\n", clock_now(controlled->loop.clock), leader,
	       fencing_token, service, id != NULL ? id : "", done);
}

void control_flush(void)
{
	fflush(stdout);
}

/* --- commands --- */

static void run_store(site_t *site, char *rest)
{
	char word[16] = "";
	unsigned number = 0;

	sscanf(rest, "%15s %u", word, &number);
	if (strcmp(word, "down") == 0)
		site->kv->down = number != 0;
	else if (strcmp(word, "delay") == 0)
		site->kv->answer_delay = number * USEC_PER_MSEC;
	else if (strcmp(word, "lose") == 0)
		site->kv->lose_commit_answers = number;
	else if (strcmp(word, "lose-keeps") == 0)
		site->kv->lose_lease_keep_answers = number;
	else if (strcmp(word, "deaf") == 0)
		site->kv->watches_stalled = number != 0;
	else if (strcmp(word, "compact") == 0)
		fake_kv_compact(site->kv);
	else if (strcmp(word, "copy") == 0)
		fake_kv_make_backup(site->kv);
	else if (strcmp(word, "restore") == 0)
		site_restore(site);
}

static void run_promotion(site_t *site, char *rest)
{
	if (strcmp(rest, "loses") == 0)
		site->promotion_state = PROMOTION_LOSE_REPLIES;
	else
		site->promotion_state =
			strcmp(rest, "refuses") == 0 ? PROMOTION_REFUSE : PROMOTION_NORMAL;
}

static void apply_member_command(site_t *site, fake_member_t *member, const char *word,
				 unsigned number)
{
	char id[48];

	if (strcmp(word, "crash") == 0) {
		members_crash(site, member);
	} else if (strcmp(word, "start") == 0) {
		if (member->stopped)
			fake_member_start(member);
	} else if (strcmp(word, "replace") == 0) {
		members_crash(site, member);
		snprintf(id, sizeof(id), "%.32s-n%u%c", member->db->config.service, number,
			 (char)('a' + (member - member->db->members)));
		fake_member_replace(member, id);
	} else if (strcmp(word, "leave") == 0) {
		member->leaving = true;
	} else if (strcmp(word, "slow") == 0) {
		member->extra_service_time = number * USEC_PER_MSEC;
	} else if (strcmp(word, "lag") == 0) {
		member->extra_lag = number * USEC_PER_MSEC;
	} else if (strcmp(word, "lose") == 0) {
		member->lose_answers = number;
	} else if (strcmp(word, "reset") == 0) {
		member->reset_answers = number;
	} else if (strcmp(word, "grey") == 0) {
		member->refuse_runs = number;
	} else if (strcmp(word, "deaf") == 0) {
		member->isolated = number != 0;
	}
}

/* "member INDEX WORD [NUMBER]"; an INDEX from 100 on is the primary of service INDEX - 100. */
static void run_member(site_t *site, char *rest)
{
	char word[16] = "";
	unsigned index = 0;
	unsigned number = 0;
	fake_member_t *member;

	sscanf(rest, "%u %15s %u", &index, word, &number);
	if (index >= STANDIN_PRIMARY_OF)
		member = fake_db_primary(
			site->services[(index - STANDIN_PRIMARY_OF) % site->service_count]);
	else
		member = site->listeners[index % (site->service_count * SITE_MEMBERS)].member;
	if (member != NULL)
		apply_member_command(site, member, word, number);
}

/* "leavers SERVICE WORD NUMBER": applies WORD to each member of the service that is leaving. */
static void run_leaving_members(site_t *site, char *rest)
{
	char word[16] = "";
	unsigned service = 0;
	unsigned number = 0;
	fake_db_t *db;

	sscanf(rest, "%u %15s %u", &service, word, &number);
	db = site->services[service % site->service_count];
	for (size_t i = 0; i < db->config.members; i++) {
		if (db->members[i].leaving)
			apply_member_command(site, &db->members[i], word, number);
	}
}

static void run_config(site_t *site, char *rest)
{
	fake_kv_put(site->kv, KEY_CONFIG, rest);
}

/* "sync TEXT": marks a point in the record and flushes it. */
static void run_sync(site_t *site, char *rest)
{
	printf("S\t%" PRIu64 "\t%s\n", clock_now(site->loop.clock), rest);
	control_flush();
}

static const command_t commands[] = {
	{"store ", run_store},	 {"cloud ", run_promotion},
	{"member ", run_member}, {"leavers ", run_leaving_members},
	{"config ", run_config}, {"sync ", run_sync},
};

static void run_command(char *line)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		size_t len = strlen(commands[i].name);

		if (strncmp(line, commands[i].name, len) == 0)
			commands[i].run(controlled, line + len);
	}
}

/* --- standard input --- */

static void on_command_input(loop_watch_t *watch)
{
	ssize_t n = read(STDIN_FILENO, input.line + input.len, sizeof(input.line) - input.len - 1);
	char *lf;

	/* End of input, or a line that does not fit in the buffer: the stand-in stops. */
	if (n <= 0) {
		loop_watch_stop(watch);
		loop_stop(&controlled->loop);
		return;
	}
	input.len += (size_t)n;
	input.line[input.len] = '\0';
	while ((lf = strchr(input.line, '\n')) != NULL) {
		*lf = '\0';
		run_command(input.line);
		input.len -= (size_t)(lf + 1 - input.line);
		memmove(input.line, lf + 1, input.len + 1);
	}
}

int control_start(site_t *site)
{
	controlled = site;
	site->events.ops = &events_ops;
	for (size_t i = 0; i < site->service_count; i++)
		site->services[i]->events = &site->events;
	return loop_watch_start(&site->loop, &site->control, STDIN_FILENO, on_command_input);
}
