/*
 * What the logs tell of one request: its own lines, and what the same proxies
 * and others wrote of its service, its member and the fleet just before.
 */
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "logs.h"

#define WORDS_MAX 8
/* How far back the cause of a failure is looked for: a change of primary and its detection. */
#define BEFORE_MSEC 4000
/* How much later a line may be that belongs to it, with the VMs' clocks apart. */
#define AFTER_MSEC 500

typedef struct account {
	logs_t logs;
	const char *id;
	/* Services and members that the request's own lines name. */
	const char *words[WORDS_MAX];
	size_t word_count;
	int64_t first;
	int64_t last;
} account_t;

static bool is_own(const account_t *account, const log_line_t *line)
{
	return strcmp(logs_text(line, "request"), account->id) == 0;
}

static void note_word(account_t *account, const char *word)
{
	for (size_t i = 0; i < account->word_count; i++) {
		if (strcmp(account->words[i], word) == 0)
			return;
	}
	if (*word != '\0' && account->word_count < WORDS_MAX)
		account->words[account->word_count++] = word;
}

/* Returns false if no line names the request. */
static bool find_own(account_t *account)
{
	bool found = false;

	for (size_t i = 0; i < account->logs.count; i++) {
		const log_line_t *line = &account->logs.lines[i];

		if (!is_own(account, line))
			continue;
		note_word(account, logs_text(line, "service"));
		note_word(account, logs_text(line, "member"));
		if (!found)
			account->first = line->msec;
		account->last = line->msec;
		found = true;
	}
	return found;
}

/* Lines of other requests are left out; what tells of a proxy or of the fleet is taken. */
static bool belongs(const account_t *account, const log_line_t *line)
{
	const char *service = logs_text(line, "service");
	const char *member = logs_text(line, "member");

	if (is_own(account, line))
		return true;
	if (json_object_get(line->object, "request") != NULL ||
	    strcmp(logs_text(line, "module"), "summary") == 0)
		return false;
	if (line->msec < account->first - BEFORE_MSEC || line->msec > account->last + AFTER_MSEC)
		return false;
	if (*service == '\0' && *member == '\0')
		return true;
	for (size_t i = 0; i < account->word_count; i++) {
		if (strcmp(account->words[i], service) == 0 ||
		    strcmp(account->words[i], member) == 0)
			return true;
	}
	return false;
}

static void print_line(const account_t *account, const log_line_t *line)
{
	const char *key;
	json_t *value;

	printf("%s %+6lld ms  %s %s: %s", is_own(account, line) ? "*" : " ",
	       (long long)(line->msec - account->last), line->source, logs_text(line, "module"),
	       logs_text(line, "text"));
	json_object_foreach (line->object, key, value) {
		if (strcmp(key, "time") == 0 || strcmp(key, "level") == 0 ||
		    strcmp(key, "module") == 0 || strcmp(key, "text") == 0)
			continue;
		if (json_is_string(value))
			printf(" %s=%s", key, json_string_value(value));
		else
			printf(" %s=%lld", key, (long long)json_integer_value(value));
	}
	putchar('\n');
}

static int print_account(account_t *account)
{
	if (!find_own(account)) {
		fprintf(stderr,
			"cyclamenctl: no line names the request %s; was it served in time, or did "
			"its connection never get here?\n",
			account->id);
		return CTL_UNKNOWN;
	}
	printf("request %s; times are relative to its last line, marked *\n", account->id);
	for (size_t i = 0; i < account->logs.count; i++) {
		if (belongs(account, &account->logs.lines[i]))
			print_line(account, &account->logs.lines[i]);
	}
	return CTL_OK;
}

int run_explain(ctl_t *ctl, int argc, char **argv)
{
	account_t account = {.id = argv[0]};
	int status;

	(void)ctl;
	status = logs_read(&account.logs, argc - 1, argv + 1);
	if (status == CTL_OK)
		status = print_account(&account);
	logs_free(&account.logs);
	return status;
}
