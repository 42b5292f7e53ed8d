/*
 * What the logs tell of one request: its own lines, and what the same proxies
 * and others wrote of its service, its member and the fleet just before.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <talloc.h>

#include "command.h"

#define LINE_MAX_BYTES 8192
#define WORDS_MAX      8
/* How far back the cause of a failure is looked for: a change of primary and its detection. */
#define BEFORE_MSEC 4000
/* How much later a line may be that belongs to it, with the VMs' clocks apart. */
#define AFTER_MSEC 500

typedef struct line {
	int64_t msec;
	char *source; /* what stands before the JSON object, or the file's name */
	json_t *object;
	bool own; /* names the request */
} line_t;

typedef struct account {
	line_t *lines; /* talloc array */
	size_t count;
	const char *id;
	/* Services and members that the request's own lines name. */
	const char *words[WORDS_MAX];
	size_t word_count;
	int64_t first;
	int64_t last;
} account_t;

/* Milliseconds of an ISO time such as 2026-01-18T20:17:51.056Z; -1 if it is none. */
static int64_t parse_time(const char *text)
{
	struct tm tm = {0};
	const char *rest = text != NULL ? strptime(text, "%Y-%m-%dT%H:%M:%S", &tm) : NULL;

	if (rest == NULL || *rest != '.')
		return -1;
	return (int64_t)timegm(&tm) * 1000 + strtol(rest + 1, NULL, 10);
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

static void add_line(account_t *account, const char *name, char *text)
{
	char *brace = strchr(text, '{');
	json_t *object;
	int64_t msec;
	line_t *line;

	if (brace == NULL)
		return;
	object = json_loads(brace, 0, NULL);
	msec = parse_time(text_of(object, "time"));
	if (msec < 0) {
		json_decref(object);
		return;
	}
	if ((account->count & (account->count - 1)) == 0)
		account->lines =
			talloc_realloc(NULL, account->lines, line_t, 2 * account->count + 1);
	line = &account->lines[account->count++];
	*brace = '\0';
	*line = (line_t){.msec = msec, .object = object};
	line->source = talloc_strdup(account->lines, brace != text ? text : name);
	line->own = strcmp(text_of(object, "request"), account->id) == 0;
}

static void read_lines(account_t *account, const char *name, FILE *in)
{
	char text[LINE_MAX_BYTES];

	while (fgets(text, sizeof(text), in) != NULL)
		add_line(account, name, text);
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

	for (size_t i = 0; i < account->count; i++) {
		const line_t *line = &account->lines[i];

		if (!line->own)
			continue;
		note_word(account, text_of(line->object, "service"));
		note_word(account, text_of(line->object, "member"));
		if (!found || line->msec < account->first)
			account->first = line->msec;
		if (!found || line->msec > account->last)
			account->last = line->msec;
		found = true;
	}
	return found;
}

/* Lines of other requests are left out; what tells of a proxy or of the fleet is taken. */
static bool belongs(const account_t *account, const line_t *line)
{
	const char *service = text_of(line->object, "service");
	const char *member = text_of(line->object, "member");

	if (line->own)
		return true;
	if (json_object_get(line->object, "request") != NULL ||
	    strcmp(text_of(line->object, "module"), "summary") == 0)
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

static int compare(const void *a, const void *b)
{
	const line_t *left = a;
	const line_t *right = b;

	return (left->msec > right->msec) - (left->msec < right->msec);
}

static void print_line(const account_t *account, const line_t *line)
{
	const char *key;
	json_t *value;

	printf("%s %+6lld ms  %s %s: %s", line->own ? "*" : " ",
	       (long long)(line->msec - account->last), line->source,
	       text_of(line->object, "module"), text_of(line->object, "text"));
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
	qsort(account->lines, account->count, sizeof(account->lines[0]), compare);
	printf("request %s; times are relative to its last line, marked *\n", account->id);
	for (size_t i = 0; i < account->count; i++) {
		if (belongs(account, &account->lines[i]))
			print_line(account, &account->lines[i]);
	}
	return CTL_OK;
}

static int read_all(account_t *account, int argc, char **argv)
{
	if (argc == 1)
		read_lines(account, "input", stdin);
	for (int i = 1; i < argc; i++) {
		FILE *in = fopen(argv[i], "r");

		if (in == NULL) {
			fprintf(stderr, "cyclamenctl: %s: the file can't be read\n", argv[i]);
			return CTL_LOCAL_ERROR;
		}
		read_lines(account, argv[i], in);
		fclose(in);
	}
	return CTL_OK;
}

int run_explain(ctl_t *ctl, int argc, char **argv)
{
	account_t account = {.id = argv[0]};
	int status;

	(void)ctl;
	status = read_all(&account, argc, argv);
	if (status == CTL_OK)
		status = print_account(&account);
	for (size_t i = 0; i < account.count; i++)
		json_decref(account.lines[i].object);
	talloc_free(account.lines);
	return status;
}
