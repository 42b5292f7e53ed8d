#include "sql.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#define REPORT_FIELDS 5

int sql_read_report(const PGresult *result, bool *accepted, report_t *report)
{
	unsigned long long sealed;
	unsigned long long term;
	unsigned long long lsn;
	int ok;
	int primary;

	if (PQresultStatus(result) != PGRES_TUPLES_OK || PQntuples(result) != 1)
		return -EBADMSG;
	if (sscanf(PQgetvalue(result, 0, 0), "%d %llu %llu %llu %d", &ok, &sealed, &term, &lsn,
		   &primary) != REPORT_FIELDS)
		return -EBADMSG;
	*accepted = ok != 0;
	report->sealed = sealed;
	report->log = (position_t){.term = term, .lsn = lsn};
	report->primary = primary != 0;
	return 0;
}

static json_t *row_to_json(const PGresult *result, int row)
{
	json_t *out = json_array();

	for (int i = 0; i < PQnfields(result); i++) {
		if (PQgetisnull(result, row, i))
			json_array_append_new(out, json_null());
		else
			json_array_append_new(out, json_string(PQgetvalue(result, row, i)));
	}
	return out;
}

char *sql_rows_to_json(void *parent, const PGresult *result)
{
	json_t *columns = json_array();
	json_t *rows = json_array();
	json_t *object;
	char *text;
	char *copy;

	for (int i = 0; i < PQnfields(result); i++)
		json_array_append_new(columns, json_string(PQfname(result, i)));
	for (int i = 0; i < PQntuples(result); i++)
		json_array_append_new(rows, row_to_json(result, i));
	object = json_pack("{s:o, s:o, s:i}", "columns", columns, "rows", rows, "affected",
			   atoi(PQcmdTuples((PGresult *)result)));
	text = json_dumps(object, JSON_COMPACT);
	copy = talloc_strdup(parent, text);
	free(text);
	json_decref(object);
	return copy;
}

bool sql_is_error(const PGresult *result)
{
	ExecStatusType status = PQresultStatus(result);

	return status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK;
}

bool sql_is_fatal(const PGresult *result)
{
	const char *severity = PQresultErrorField(result, PG_DIAG_SEVERITY_NONLOCALIZED);

	return severity == NULL || strcmp(severity, "ERROR") != 0;
}

char *sql_error_text(void *parent, const PGresult *result)
{
	const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	const char *message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	return talloc_asprintf(parent, "%s: %s", state != NULL ? state : "no state",
			       message != NULL ? message : "no message");
}

bool sql_has_sqlstate(const PGresult *result, const char *state)
{
	const char *actual = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	return actual != NULL && strcmp(actual, state) == 0;
}
