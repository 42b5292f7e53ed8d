/*
 * The operators' configuration in force. A route maps a database name to a service and says how
 * fresh reads must be and how long a statement may take.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "customers.h"
#include "list.h"

typedef enum {
	READS_PRIMARY, /* reads see every commit that was acknowledged before */
	READS_BOUNDED, /* reads may be up to max_age old */
	READS_SESSION, /* reads may be up to max_age old, but see the session's own commits */
} reads_t;

typedef struct route {
	list_t node;	   /* in routes_t.routes */
	UT_hash_handle hh; /* in routes_t.by_database, which is searched for each operation */
	const char *database;
	const char *service;
	reads_t reads;
	usec_t max_age;
	usec_t statement_timeout;
	usec_t objective; /* response time objective of a whole operation */
	int64_t priority; /* 0 is the highest */
	bool keyless;	  /* callers are admitted without a key */
} route_t;

typedef struct service_limits {
	list_t node;	   /* in routes_t.services */
	UT_hash_handle hh; /* in routes_t.services_by_name */
	const char *name;
	int64_t max_connections; /* to each member, from all proxies together */
	bool sync_replicas;	 /* commits wait until one replica has received them */
} service_limits_t;

/* One version of the configuration; the talloc parent of all its routes and limits. */
typedef struct routes {
	int64_t version;
	usec_t tx_idle_timeout; /* a transaction that is idle for longer is rolled back */
	list_t routes;
	route_t *by_database;
	list_t services;
	service_limits_t *services_by_name;
	customers_t *customers;
} routes_t;

routes_t *routes_create(void *parent);

/*
 * Add an entry, whose other fields the caller fills in. If a name is added twice, lookups return
 * the first entry.
 */
route_t *routes_add(routes_t *routes, const char *database, const char *service);
service_limits_t *routes_add_service(routes_t *routes, const char *name);

/* Return the route of a database name and the limits of a service, or NULL. */
const route_t *routes_find(const routes_t *routes, const char *database);
const service_limits_t *routes_find_service(const routes_t *routes, const char *name);
