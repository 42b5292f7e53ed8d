/*
 * The operators' configuration in force: which database name leads to which
 * service, how fresh its reads must be, and how long a statement may take.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "customers.h"
#include "list.h"

typedef enum {
	READS_PRIMARY, /* see every commit acknowledged before */
	READS_BOUNDED, /* may be max_age old */
	READS_SESSION, /* may be max_age old, but see the session's own commits */
} reads_t;

typedef struct route {
	list_t node;	   /* in routes_t.routes */
	UT_hash_handle hh; /* in routes_t.by_database: looked up for each operation */
	const char *database;
	const char *service;
	reads_t reads;
	usec_t max_age;
	usec_t statement_timeout;
	usec_t objective; /* for a whole operation */
	int64_t priority; /* 0 is the highest */
	bool keyless;	  /* callers need no key */
} route_t;

typedef struct service_limits {
	list_t node;	   /* in routes_t.services */
	UT_hash_handle hh; /* in routes_t.services_by_name */
	const char *name;
	int64_t max_connections; /* at each member, over all proxies */
	bool sync_replicas;	 /* a commit waits for one replica to receive it */
} service_limits_t;

/* One version of the configuration; everything hangs on it. */
typedef struct routes {
	int64_t version;
	usec_t tx_idle_timeout; /* a transaction that rests longer may be ended */
	list_t routes;
	route_t *by_database;
	list_t services;
	service_limits_t *services_by_name;
	customers_t *customers;
} routes_t;

routes_t *routes_create(void *parent);

/* To be filled in by the caller. The first route of a database name is the one that counts. */
route_t *routes_add(routes_t *routes, const char *database, const char *service);
service_limits_t *routes_add_service(routes_t *routes, const char *name);

/* The route of a database name, or NULL. */
const route_t *routes_find(const routes_t *routes, const char *database);
const service_limits_t *routes_find_service(const routes_t *routes, const char *name);
