#include "world_parts.h"

void world_request(world_t *world, const world_request_t *request)
{
	uint64_t caller = ++world->next_caller;
	result_t *result = g_new0(result_t, 1);
	query_t query = {
		.verb = request->verb,
		.service = request->tx == NULL ? "dispatch" : NULL,
		.class_name = request->tx == NULL ? (char *)request->class_name : NULL,
		.text = (char *)request->key,
		.params = (char *)request->value,
		.request_id = (char *)request->request_id,
		.tx = (char *)request->tx,
		.repeatable = request->repeatable,
		.resend = request->resend,
		.token_lost = request->token_lost,
		.time_left = request->deadline != 0 ? request->deadline : 2 * USEC_PER_SEC,
	};
	event_t event = {
		.kind = EVENT_QUERY,
		.id = caller,
		.query = {.query = &query, .token = request->token},
	};
	const char *acked = request->key != NULL
				    ? g_hash_table_lookup(world->acknowledged, request->key)
				    : NULL;

	result->name = g_strdup(request->name);
	result->key = g_strdup(request->key);
	result->in_tx = request->tx != NULL;
	result->written_value = g_strdup(request->tx == NULL ? request->value : NULL);
	result->requested_at = world->now;
	g_hash_table_replace(world->results, g_strdup(request->name), result);
	g_hash_table_replace(world->caller_names, world_conn_key(request->proxy, caller),
			     g_strdup(request->name));
	if (g_strcmp0(request->class_name, "assignment") == 0 && acked != NULL)
		g_hash_table_replace(world->floors, g_strdup(request->name), g_strdup(acked));
	if (request->floor != NULL)
		g_hash_table_replace(world->floors, g_strdup(request->name),
				     g_strdup(request->floor));
	world_trace(world, "p%d query %s %s %s%s%s", request->proxy, request->name,
		    request->class_name != NULL ? request->class_name : "tx",
		    request->key != NULL ? request->key : "", request->value != NULL ? "=" : "",
		    request->value != NULL ? request->value : "");
	world_deliver(world, request->proxy, &event);
}

const result_t *world_result(const world_t *world, const char *name)
{
	return g_hash_table_lookup(world->results, name);
}

void world_edit(world_t *world, int proxy, const char *name, const char *key, const char *value,
		uint64_t base_version)
{
	table_entry_t entry = {.key = (char *)key, .value = (char *)value};
	event_t event = {
		.kind = EVENT_EDIT,
		.id = ++world->next_caller,
		.edit = {.edit_id = name,
			 .author = "operator",
			 .base_version = base_version,
			 .entries = &entry,
			 .entry_count = 1},
	};

	g_hash_table_replace(world->edit_names, world_conn_key(proxy, event.id), g_strdup(name));
	world_deliver(world, proxy, &event);
}

const char *world_edit_outcome(const world_t *world, const char *name)
{
	return g_hash_table_lookup(world->edit_outcomes, name);
}

uint64_t world_table_version(const world_t *world, int proxy)
{
	json_t *table = core_dump_table(world->proxies[proxy].core);
	uint64_t version = (uint64_t)json_integer_value(json_object_get(table, "version"));

	json_decref(table);
	return version;
}

const char *world_timeline(const world_t *world)
{
	return world->timeline->str;
}

int world_primary(const world_t *world)
{
	int best = -1;

	for (int i = 0; i < world->config.members; i++) {
		const fake_member_t *member = &world->members[i];

		if (member->primary && (best < 0 || member->sealed > world->members[best].sealed))
			best = i;
	}
	return best;
}

const char *world_value(const world_t *world, const char *key)
{
	int primary = world_primary(world);

	return primary >= 0 ? log_find_value(world->members[primary].log, key) : NULL;
}

int world_count_request_id(const world_t *world, const char *request_id)
{
	int primary = world_primary(world);
	int n = 0;

	for (guint i = 0; primary >= 0 && i < world->members[primary].log->len; i++) {
		const log_entry_t *entry = world->members[primary].log->pdata[i];

		n += g_strcmp0(entry->request_id, request_id) == 0;
	}
	return n;
}

void world_clear_marks(world_t *world)
{
	world->marks = (world_marks_t){0};
}

world_marks_t world_marks(const world_t *world)
{
	return world->marks;
}

json_t *world_dump(const world_t *world, int proxy)
{
	return core_dump(world->proxies[proxy].core);
}

world_counts_t world_counts(const world_t *world)
{
	return world->counts;
}

/* Index of a value in the primary's log, which is the surviving history; -1 if it is not there. */
static int history_index(const world_t *world, const char *key, const char *value)
{
	const GPtrArray *log = world->members[world_primary(world)].log;

	for (guint i = 0; i < log->len; i++) {
		const log_entry_t *entry = log->pdata[i];

		if (g_strcmp0(entry->key, key) == 0 && g_strcmp0(entry->value, value) == 0)
			return (int)i;
	}
	return -1;
}

/* An acknowledged write must be in the surviving history. */
static void check_acknowledged(world_t *world, const result_t *result)
{
	if (result->written_value != NULL &&
	    history_index(world, result->key, result->written_value) < 0)
		world_add_violation(world, "%s was acknowledged, but %s=%s is missing",
				    result->name, result->key, result->written_value);
}

/* A value read must be in the surviving history, and not older than required for the request. */
static void check_read(world_t *world, const result_t *result)
{
	const char *floor = g_hash_table_lookup(world->floors, result->name);
	int floor_index = floor != NULL ? history_index(world, result->key, floor) : -1;
	int index = result->value != NULL ? history_index(world, result->key, result->value) : -1;

	if (result->written_value != NULL || result->key == NULL)
		return;
	if (result->value != NULL && index < 0)
		world_add_violation(world, "%s read %s=%s, which does not survive", result->name,
				    result->key, result->value);
	if (index < floor_index)
		world_add_violation(world, "%s read %s, older than %s", result->name,
				    result->value != NULL ? result->value : "nothing", floor);
}

static void check_done(world_t *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->results);
	while (world_primary(world) >= 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const result_t *result = value;

		if (!result->answered || result->outcome != OUTCOME_DONE || result->in_tx)
			continue;
		check_acknowledged(world, result);
		check_read(world, result);
	}
}

/* A request id must be in the surviving history at most once. */
static void check_request_ids(world_t *world)
{
	int primary = world_primary(world);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; primary >= 0 && i < world->members[primary].log->len; i++) {
		const log_entry_t *entry = world->members[primary].log->pdata[i];

		if (entry->request_id != NULL && !g_hash_table_add(seen, entry->request_id))
			world_add_violation(world, "request %s ran twice", entry->request_id);
	}
	g_hash_table_unref(seen);
}

/* A write answered with "not run" must not be in the surviving history. */
static void check_not_run(world_t *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->results);
	while (world_primary(world) >= 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const result_t *result = value;
		const GPtrArray *log = world->members[world_primary(world)].log;

		if (!result->answered || result->outcome != OUTCOME_NOT_RUN ||
		    result->written_value == NULL)
			continue;
		for (guint i = 0; i < log->len; i++) {
			const log_entry_t *entry = log->pdata[i];

			if (g_strcmp0(entry->key, result->key) == 0 &&
			    g_strcmp0(entry->value, result->written_value) == 0)
				world_add_violation(world,
						    "%s was answered with \"not run\", but did run",
						    result->name);
		}
	}
}

const char *world_violations(world_t *world)
{
	check_done(world);
	check_request_ids(world);
	check_not_run(world);
	return world->violations->str;
}
