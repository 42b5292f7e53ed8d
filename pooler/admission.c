#include "admission.h"

#include <string.h>

#include <talloc.h>

#include "conn.h"

#define LOG_MODULE "admission"
#include "counter.h"
#include "log.h"

/* Customer name that members are sent for callers without a key. */
#define PUBLIC_CUSTOMER "public"

COUNTER_DEFINE(unknown_total, "keys_unknown_total", COUNTER_SUM,
	       "Sessions refused because no customer has their key.");
COUNTER_DEFINE(no_database_total, "databases_unknown_total", COUNTER_SUM,
	       "Sessions refused because the configuration has no such database.");
COUNTER_DEFINE(revoked_total, "sessions_barred_total", COUNTER_SUM,
	       "Open sessions whose key was revoked.");

static const customer_t *customer_of(const pooler_t *pooler, const key_digest_t *key)
{
	return customers_find_by_key(pooler->routes->customers, key);
}

static void log_refused(const pooler_t *pooler, const char *database, const key_digest_t *key,
			reason_t reason)
{
	char label[KEY_LABEL_TEXT_SIZE];

	key_label(key, label);
	LOG_EVENT(
		LOG_WARN, "session refused", LOG_STR("database", database), LOG_STR("key", label),
		LOG_STR("reason", reason_text(reason)), LOG_INT("config", pooler->routes->version),
		LOG_INT("heard", pooler->newest_config_version),
		LOG_INT("keys_age_ms",
			usec_age_ms(cache_validity_age(&pooler->config_validity, now_of(pooler)))));
}

/*
 * True if a key or database that is missing in the configuration does not exist: no newer version
 * has been reported, and the store has confirmed this one as the newest within the bound in which a
 * new configuration must be in force.
 */
static bool is_current(const pooler_t *pooler)
{
	return pooler->routes->version >= pooler->newest_config_version &&
	       cache_validity_age(&pooler->config_validity, now_of(pooler)) <
		       pooler->config.config_bound;
}

code_t admission_unknown_database(const pooler_t *pooler, reason_t *reason)
{
	bool current = is_current(pooler);

	*reason = current ? REASON_UNKNOWN_DATABASE : REASON_CONFIG_TOO_OLD;
	return current ? CODE_NO_DATABASE : CODE_BUSY;
}

bool admission_check_session(const pooler_t *pooler, const char *database, const key_digest_t *key,
			     code_t *code)
{
	const route_t *route = routes_find(pooler->routes, database);
	reason_t reason;

	if (route == NULL) {
		*code = admission_unknown_database(pooler, &reason);
		counter_add(&no_database_total, 1);
		log_refused(pooler, database, key, reason);
		return false;
	}
	if (route->keyless)
		return true;
	/* A configuration that is not current does not prove that a key is unknown. */
	if (!cache_is_valid(&pooler->config_validity, now_of(pooler)) ||
	    (customer_of(pooler, key) == NULL && !is_current(pooler))) {
		*code = CODE_BUSY;
		log_refused(pooler, database, key, REASON_KEYS_TOO_OLD);
		return false;
	}
	if (customer_of(pooler, key) == NULL) {
		*code = CODE_NO_AUTH;
		counter_add(&unknown_total, 1);
		log_refused(pooler, database, key, REASON_UNKNOWN_KEY);
		return false;
	}
	return true;
}

void admission_set_customer(caller_t *caller, const char *customer)
{
	if (caller->customer == NULL || strcmp(caller->customer, customer) != 0) {
		talloc_free(caller->customer);
		caller->customer = talloc_strdup(caller, customer);
	}
	caller->customer_pool = service_customer_pool(caller->service, customer);
}

bool admission_check_operation(caller_t *caller, const route_t *route, reason_t *reason)
{
	const pooler_t *pooler = caller->pooler;
	const customer_t *customer = customer_of(pooler, &caller->key);

	caller->keyless = route->keyless;
	if (route->keyless) {
		admission_set_customer(caller, customer != NULL ? customer->name : PUBLIC_CUSTOMER);
		return true;
	}
	if (!cache_is_valid(&pooler->config_validity, now_of(pooler))) {
		*reason = REASON_KEYS_TOO_OLD;
		return false;
	}
	if (customer == NULL) {
		*reason = REASON_KEY_REVOKED;
		return false;
	}
	admission_set_customer(caller, customer->name);
	return true;
}

/* True if the session's key still belongs to the customer of its last operation. */
static bool has_same_customer(const caller_t *caller)
{
	const customer_t *customer = customer_of(caller->pooler, &caller->key);

	return customer != NULL && caller->customer != NULL &&
	       strcmp(customer->name, caller->customer) == 0;
}

bool admission_check_transaction(const caller_t *caller, reason_t *reason)
{
	/* The proxy that has forwarded the statement has checked the key. */
	if (caller->job != NULL || caller->keyless)
		return true;
	if (!cache_is_valid(&caller->pooler->config_validity, now_of(caller->pooler)))
		*reason = REASON_KEYS_TOO_OLD;
	else if (!has_same_customer(caller))
		*reason = REASON_KEY_REVOKED;
	else
		return true;
	return false;
}

static bool is_key_revoked(const caller_t *caller)
{
	const route_t *route = routes_find(caller->pooler->routes, caller->database);

	if (caller->job != NULL || route == NULL || route->keyless)
		return false;
	return caller->customer != NULL ? !has_same_customer(caller)
					: customer_of(caller->pooler, &caller->key) == NULL;
}

/*
 * Marks a session whose key was revoked and rolls back its idle transaction, which would otherwise
 * keep its connection and its locks until the client sends the next statement. A session with a
 * statement in progress is checked at the next statement.
 */
static void mark_key_revoked(caller_t *caller)
{
	char label[KEY_LABEL_TEXT_SIZE];

	caller->key_revoked = true;
	counter_add(&revoked_total, 1);
	key_label(&caller->key, label);
	LOG_EVENT(LOG_INFO, "key of a session revoked", LOG_STR("database", caller->database),
		  LOG_STR("customer", caller->customer != NULL ? caller->customer : ""),
		  LOG_STR("key", label), LOG_INT("config", caller->pooler->routes->version),
		  LOG_INT("in_transaction", caller->tx == TX_OPEN), LOG_INT("busy", caller->busy));
	if (caller->tx == TX_OPEN && !caller->busy && caller->conn != NULL)
		conn_reclaim(caller->conn, "key revoked");
}

void admission_on_keys_changed(pooler_t *pooler)
{
	list_for_each (it, &pooler->callers) {
		caller_t *caller = list_entry(it, caller_t, node);

		if (!caller->key_revoked && is_key_revoked(caller))
			mark_key_revoked(caller);
		else if (caller->key_revoked && !is_key_revoked(caller))
			caller->key_revoked = false;
	}
}
