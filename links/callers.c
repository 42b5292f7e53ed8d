/*
 * The link to callers: an HTTP/1.1 and HTTP/2 server that passes requests with JSON bodies to core
 * as queries. PROTOCOLS.md describes the fields. Each request gets exactly one response.
 */
#include <string.h>

#include <h2o.h>
#include <jansson.h>
#include <talloc.h>
#include <uthash.h>

#include "adapter.h"
#include "counter.h"
#include "httpd.h"
#include "run.h"

#define LOG_MODULE "callers"
#include "log.h"

#define DEFAULT_DEADLINE_MSEC 5000
#define MAX_DEADLINE_MSEC     3600000

COUNTER_DEFINE(requests_total, "caller_requests_total", COUNTER_SUM, "Requests of callers.");
COUNTER_DEFINE(bad_total, "caller_bad_requests_total", COUNTER_SUM,
	       "Requests refused before anything was done with them.");
COUNTER_DEFINE(done_total, "answers_done_total", COUNTER_SUM, "Answers with outcome done.");
COUNTER_DEFINE(not_run_total, "answers_not_run_total", COUNTER_SUM,
	       "Answers with outcome not_run.");
COUNTER_DEFINE(unknown_total, "answers_unknown_total", COUNTER_SUM,
	       "Answers with outcome unknown.");
COUNTER_DEFINE(open_now, "caller_requests_open", COUNTER_GAUGE, "Requests without answer yet.");

/* A request that core has not answered yet. */
typedef struct pending_request {
	uint64_t id;
	h2o_req_t *req; /* valid until h2o disposes of the request, which removes this entry */
	struct callers *callers;
	UT_hash_handle hh;
} pending_request_t;

typedef struct callers {
	plugin_t base;
	httpd_t httpd;
	adapter_t *adapter;
	loop_t *loop;
	pending_request_t *pending;
	uint64_t next_id;
} callers_t;

/* --- parsing of requests --- */

typedef enum { BODY_TEXT, BODY_BOOL, BODY_DEADLINE, BODY_PARAMS, BODY_SESSION } body_field_type_t;

typedef struct body_field {
	const char *key;
	body_field_type_t type;
	size_t offset; /* in query_t */
} body_field_t;

static const body_field_t body_fields[] = {
	{"service", BODY_TEXT, offsetof(query_t, service)},
	{"class", BODY_TEXT, offsetof(query_t, class_name)},
	{"statement", BODY_TEXT, offsetof(query_t, text)},
	{"params", BODY_PARAMS, offsetof(query_t, params)},
	{"request_id", BODY_TEXT, offsetof(query_t, request_id)},
	{"transaction", BODY_TEXT, offsetof(query_t, tx)},
	{"repeatable", BODY_BOOL, offsetof(query_t, repeatable)},
	{"resend", BODY_BOOL, offsetof(query_t, resend)},
	{"deadline_ms", BODY_DEADLINE, offsetof(query_t, time_left)},
	{"session", BODY_SESSION, offsetof(query_t, token_lost)},
};

_Static_assert(RUN_PARAMS_MAX == 64, "the error message for params names 64");

static const char *const expected_values[] = {
	[BODY_TEXT] = "a string that is not empty",
	[BODY_BOOL] = "true or false",
	[BODY_DEADLINE] = "milliseconds from 1 to 3600000",
	[BODY_PARAMS] = "a list of at most 64 strings, numbers, booleans and nulls",
	[BODY_SESSION] = "\"new\" or \"continued\"",
};

typedef struct parsed_request {
	query_t query;
	const char *token;
	char error[160];
} parsed_request_t;

static bool are_valid_params(const json_t *value)
{
	if (!json_is_array(value) || json_array_size(value) > RUN_PARAMS_MAX)
		return false;
	for (size_t i = 0; i < json_array_size(value); i++) {
		const json_t *item = json_array_get(value, i);

		if (json_is_array(item) || json_is_object(item))
			return false;
	}
	return true;
}

static bool parse_session(const json_t *value, bool *continued)
{
	const char *text = json_string_value(value);

	if (text == NULL)
		return false;
	*continued = strcmp(text, "continued") == 0;
	return *continued || strcmp(text, "new") == 0;
}

static bool parse_value(void *parent, body_field_type_t type, const json_t *value, void *out)
{
	json_int_t number = json_integer_value(value);
	char *text;

	switch (type) {
	case BODY_TEXT:
		*(char **)out = (char *)json_string_value(value);
		return *(char **)out != NULL && **(char **)out != '\0';
	case BODY_BOOL:
		*(bool *)out = json_is_true(value);
		return json_is_boolean(value);
	case BODY_DEADLINE:
		*(usec_t *)out = (usec_t)number * USEC_PER_MSEC;
		return json_is_integer(value) && number >= 1 && number <= MAX_DEADLINE_MSEC;
	case BODY_PARAMS:
		if (!are_valid_params(value))
			return false;
		text = json_dumps(value, JSON_COMPACT);
		*(char **)out = talloc_strdup(parent, text);
		free(text);
		return true;
	case BODY_SESSION:
		return parse_session(value, out);
	}
	return false;
}

static const body_field_t *find_field(const char *key)
{
	for (size_t i = 0; i < sizeof(body_fields) / sizeof(body_fields[0]); i++) {
		if (strcmp(body_fields[i].key, key) == 0)
			return &body_fields[i];
	}
	return NULL;
}

static bool parse_fields(void *parent, const json_t *body, parsed_request_t *out)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)body, key, value) {
		const body_field_t *field = find_field(key);

		if (strcmp(key, "token") == 0 && json_is_string(value)) {
			out->token = json_string_value(value);
			continue;
		}
		if (field == NULL) {
			snprintf(out->error, sizeof(out->error), "unknown field \"%.60s\"", key);
			return false;
		}
		if (!parse_value(parent, field->type, value, (char *)&out->query + field->offset)) {
			snprintf(out->error, sizeof(out->error), "%s: expected %s", key,
				 expected_values[field->type]);
			return false;
		}
	}
	return true;
}

typedef struct verb_rule {
	const char *path;
	verb_t verb;
	bool needs_row;
	bool needs_text;
	bool needs_tx;
} verb_rule_t;

static const verb_rule_t verb_rules[] = {
	{"/v1/statement", VERB_STATEMENT, true, true, false},
	{"/v1/begin", VERB_BEGIN, true, false, false},
	{"/v1/transaction/statement", VERB_TX_STATEMENT, false, true, true},
	{"/v1/commit", VERB_COMMIT, false, false, true},
	{"/v1/rollback", VERB_ROLLBACK, false, false, true},
};

static const char *find_missing_field(const verb_rule_t *rule, const query_t *query)
{
	if (rule->needs_row && query->service == NULL)
		return "service";
	if (rule->needs_row && query->class_name == NULL)
		return "class";
	if (rule->needs_text && query->text == NULL)
		return "statement";
	if (rule->needs_tx && query->tx == NULL)
		return "transaction";
	return NULL;
}

static bool check_fields(const verb_rule_t *rule, parsed_request_t *out)
{
	const char *missing = find_missing_field(rule, &out->query);

	if (missing != NULL) {
		snprintf(out->error, sizeof(out->error), "%s is missing", missing);
		return false;
	}
	if (!rule->needs_tx && out->query.tx != NULL) {
		snprintf(out->error, sizeof(out->error),
			 "transaction: statements of one go to /v1/transaction/statement");
		return false;
	}
	out->query.verb = rule->verb;
	if (out->query.time_left == 0)
		out->query.time_left = DEFAULT_DEADLINE_MSEC * USEC_PER_MSEC;
	return true;
}

/* --- answers --- */

static int http_status_of(const answer_t *answer)
{
	static const int by_refusal[REFUSAL_COUNT] = {
		[REFUSAL_BAD_REQUEST] = 400, [REFUSAL_BAD_TOKEN] = 401, [REFUSAL_UNKNOWN_ROW] = 404,
		[REFUSAL_SQL] = 422,	     [REFUSAL_TX_LOST] = 409,	[REFUSAL_TX_BUSY] = 409,
	};

	if (answer->outcome == OUTCOME_DONE)
		return 200;
	if (answer->outcome == OUTCOME_UNKNOWN)
		return 504;
	return by_refusal[answer->refusal] != 0 ? by_refusal[answer->refusal] : 503;
}

static void set_text(json_t *body, const char *key, const char *text)
{
	if (text != NULL)
		json_object_set_new(body, key, json_string(text));
}

static void set_number(json_t *body, const char *key, uint64_t value)
{
	json_object_set_new(body, key, json_integer((json_int_t)value));
}

static void set_refusal_fields(json_t *body, const answer_t *answer)
{
	set_text(body, "reason", refusal_name(answer->refusal));
	set_text(body, "detail", answer->detail);
	if (answer->retry_after != 0)
		set_number(body, "retry_after_ms",
			   (answer->retry_after + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
}

static json_t *build_answer_body(const answer_t *answer, const char *token)
{
	json_t *body = answer->rows != NULL ? json_loads(answer->rows, 0, NULL) : NULL;

	if (!json_is_object(body)) {
		json_decref(body);
		body = json_object();
	}
	set_text(body, "outcome", outcome_name(answer->outcome));
	set_text(body, "group", answer->group);
	set_text(body, "member", answer->member);
	set_text(body, "transaction", answer->tx);
	set_text(body, "token", token);
	if (answer->outcome == OUTCOME_DONE) {
		set_number(body, "age_ms", (answer->age + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
		json_object_set_new(body, "repeated", json_boolean(answer->repeated));
	} else {
		set_refusal_fields(body, answer);
	}
	return body;
}

static void count_outcome(outcome_t outcome)
{
	static counter_t *const by_outcome[] = {
		[OUTCOME_DONE] = &done_total,
		[OUTCOME_NOT_RUN] = &not_run_total,
		[OUTCOME_UNKNOWN] = &unknown_total,
	};

	counter_add(by_outcome[outcome], 1);
}

static void remove_pending(pending_request_t *pending)
{
	HASH_DEL(pending->callers->pending, pending);
	counter_add(&open_now, -1);
	talloc_free(pending);
}

static void on_answer(void *data, action_t *action)
{
	callers_t *self = data;
	const answer_t *answer = action->answer.answer;
	pending_request_t *pending;
	h2o_req_t *req;

	HASH_FIND(hh, self->pending, &action->id, sizeof(action->id), pending);
	count_outcome(answer->outcome);
	if (pending == NULL)
		return;
	req = pending->req;
	remove_pending(pending);
	httpd_send_json(req, http_status_of(answer),
			build_answer_body(answer, action->answer.token),
			answer->retry_after / USEC_PER_MSEC);
}

/* Allocated in the memory pool of a request, so that h2o reports when it frees the request. */
typedef struct dispose_data {
	uint64_t id;
	callers_t *callers;
} dispose_data_t;

/* h2o frees a request once the response is sent, or if the caller has closed the connection. */
static void on_req_dispose(void *ptr)
{
	const dispose_data_t *dispose_data = ptr;
	callers_t *self = dispose_data->callers;
	event_t event = {.kind = EVENT_CALLER_GONE, .id = dispose_data->id};
	pending_request_t *pending;

	HASH_FIND(hh, self->pending, &dispose_data->id, sizeof(dispose_data->id), pending);
	if (pending == NULL)
		return;
	remove_pending(pending);
	adapter_submit(self->adapter, &event);
}

static uint64_t add_pending(callers_t *self, h2o_req_t *req)
{
	pending_request_t *pending = talloc_zero(NULL, pending_request_t);
	dispose_data_t *dispose_data =
		h2o_mem_alloc_shared(&req->pool, sizeof(*dispose_data), on_req_dispose);

	pending->id = ++self->next_id;
	pending->req = req;
	pending->callers = self;
	dispose_data->id = pending->id;
	dispose_data->callers = self;
	HASH_ADD(hh, self->pending, id, sizeof(pending->id), pending);
	counter_add(&open_now, 1);
	return pending->id;
}

static void reject(h2o_req_t *req, int status, const char *detail)
{
	counter_add(&bad_total, 1);
	httpd_send_json(req, status,
			json_pack("{s:s, s:s, s:s}", "outcome", "not_run", "reason", "bad_request",
				  "detail", detail),
			0);
}

static void submit_query(callers_t *self, h2o_req_t *req, const parsed_request_t *request)
{
	event_t event = {
		.kind = EVENT_QUERY,
		.id = add_pending(self, req),
		.query = {.query = &request->query, .token = request->token},
	};

	adapter_submit(self->adapter, &event);
}

static void handle_request(callers_t *self, h2o_req_t *req, const verb_rule_t *rule)
{
	json_error_t json_error;
	json_t *body =
		json_loadb(req->entity.base, req->entity.len, JSON_REJECT_DUPLICATES, &json_error);
	void *scratch = talloc_new(NULL);
	parsed_request_t request = {0};

	if (!json_is_object(body)) {
		snprintf(request.error, sizeof(request.error), "the body is no JSON object: %.100s",
			 body == NULL ? json_error.text : "another type");
		reject(req, 400, request.error);
	} else if (!parse_fields(scratch, body, &request) || !check_fields(rule, &request)) {
		reject(req, 400, request.error);
	} else {
		submit_query(self, req, &request);
	}
	talloc_free(scratch);
	json_decref(body);
}

static int on_req(httpd_t *httpd, h2o_req_t *req)
{
	callers_t *self = httpd->data;

	counter_add(&requests_total, 1);
	for (size_t i = 0; i < sizeof(verb_rules) / sizeof(verb_rules[0]); i++) {
		if (httpd_request_matches(req, "POST", verb_rules[i].path)) {
			handle_request(self, req, &verb_rules[i]);
			return 0;
		}
	}
	reject(req, 404,
	       "expected POST to /v1/statement, begin, transaction/statement, commit "
	       "or rollback");
	return 0;
}

static int start(plugin_t *plugin, kernel_t *kernel, err_t *err)
{
	callers_t *self = (callers_t *)plugin;
	const conf_t *conf = kernel->settings;

	self->adapter = adapter_from_kernel(kernel);
	self->loop = &kernel->loop;
	adapter_register(self->adapter, ACTION_ANSWER, on_answer, self);
	return httpd_start(&self->httpd, &kernel->loop, conf->callers_listen,
			   (size_t)conf->callers_max_body, on_req, self, err);
}

static void drain(plugin_t *plugin)
{
	httpd_drain(&((callers_t *)plugin)->httpd);
}

static json_t *dump(const plugin_t *plugin)
{
	const callers_t *self = (const callers_t *)plugin;

	return json_pack("{s:i, s:b}", "waiting", (int)HASH_COUNT(self->pending), "listening",
			 self->httpd.listener != NULL);
}

static bool close_idle(plugin_t *plugin)
{
	callers_t *self = (callers_t *)plugin;

	return self->pending == NULL && httpd_close_idle(&self->httpd);
}

static void destroy(plugin_t *plugin)
{
	(void)plugin; /* h2o's connections are closed when the process exits */
}

static const plugin_ops_t ops = {
	.name = "callers",
	.order = 50,
	.start = start,
	.drain = drain,
	.dump = dump,
	.close_idle = close_idle,
	.destroy = destroy,
};

static callers_t instance = {.base = {.ops = &ops}};

PLUGIN_REGISTER(&instance.base);
