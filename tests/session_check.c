#include "session_check.h"

#include <string.h>

typedef struct expected_run {
	char values[SESSION_VALUES_MAX];
	char shape[40];
	uint64_t tx;
} expected_run_t;

void session_check_init(session_check_t *check, const fake_db_t *db)
{
	*check = (session_check_t){
		.db = db,
		.expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
		.member_tx = g_hash_table_new(NULL, NULL),
		.checked = db->run_count,
	};
}

void session_check_destroy(session_check_t *check)
{
	g_hash_table_destroy(check->expected);
	g_hash_table_destroy(check->member_tx);
}

uint64_t session_check_begin_tx(session_check_t *check)
{
	return ++check->last_tx;
}

void session_check_add(session_check_t *check, const char *id, const char *values, uint64_t tx,
		       const char *shape)
{
	expected_run_t *expected = g_new0(expected_run_t, 1);

	g_strlcpy(expected->values, values, sizeof(expected->values));
	g_strlcpy(expected->shape, shape, sizeof(expected->shape));
	expected->tx = tx;
	g_hash_table_insert(check->expected, g_strdup(id), expected);
}

/* True if both hold the same entries "name value;", in any order. */
static bool has_same_values(const char *a, const char *b)
{
	char **entries = g_strsplit(a, ";", -1);
	bool same = strlen(a) == strlen(b);

	for (char **entry = entries; *entry != NULL; entry++) {
		char *with_end = g_strconcat(*entry, ";", NULL);

		same = same && (**entry == '\0' || strstr(b, with_end) != NULL);
		g_free(with_end);
	}
	g_strfreev(entries);
	return same;
}

/* True if the run is in the caller's transaction, which is one transaction of one member. */
static bool is_in_tx(session_check_t *check, const fake_run_t *run, uint64_t tx)
{
	gpointer number = GUINT_TO_POINTER(tx);
	gpointer at_member = g_hash_table_lookup(check->member_tx, number);

	if (tx == 0 || run->tx_number == 0)
		return tx == run->tx_number;
	if (at_member != NULL)
		return GPOINTER_TO_UINT(at_member) == run->tx_number;
	g_hash_table_insert(check->member_tx, number, GUINT_TO_POINTER(run->tx_number));
	return true;
}

static const char *check_run(session_check_t *check, const fake_run_t *run)
{
	const expected_run_t *expected = g_hash_table_lookup(check->expected, run->id);
	const char *what = NULL;

	if (expected == NULL)
		what = "no caller has sent it";
	else if (!has_same_values(run->values, expected->values))
		what = "the values of its session differ";
	else if (strcmp(run->shape, expected->shape) != 0)
		what = "another prepared statement";
	else if (!is_in_tx(check, run, expected->tx))
		what = "in another transaction than its caller's";
	if (what == NULL)
		return NULL;
	g_snprintf(check->problem, sizeof(check->problem), "%s %s at %s: %s, \"%s\" \"%s\" tx %u",
		   run->id, run->text, run->member, what, run->values, run->shape,
		   (unsigned)run->tx_number);
	return check->problem;
}

const char *session_check_runs(session_check_t *check)
{
	const char *problem = NULL;

	while (problem == NULL && check->checked < check->db->run_count)
		problem = check_run(check, &check->db->runs[check->checked++]);
	return problem;
}

void session_values_set(char *values, const char *value)
{
	size_t name_len = strcspn(value, " ") + 1;
	char **entries = g_strsplit(values, ";", -1);
	GString *text = g_string_new(NULL);

	for (char **entry = entries; *entry != NULL; entry++) {
		if (**entry != '\0' && strncmp(*entry, value, name_len) != 0)
			g_string_append_printf(text, "%s;", *entry);
	}
	g_string_append_printf(text, "%s;", value);
	g_strlcpy(values, text->str, SESSION_VALUES_MAX);
	g_string_free(text, TRUE);
	g_strfreev(entries);
}
