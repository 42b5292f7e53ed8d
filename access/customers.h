/*
 * The customers of one version of the configuration, their keys and their limits. Each new version
 * of the configuration gets a new table, so that no entry of an older version remains.
 */
#pragma once

#include "key.h"

typedef struct customer {
	const char *name;
	double rate;  /* operations per second over all proxies; 0: no limit */
	double burst; /* operations allowed at once in addition */
} customer_t;

typedef struct customers customers_t;

customers_t *customers_create(void *parent);

/*
 * Returns a customer that lives as long as the table, or NULL if the table has one of that name
 * already. Negative limits count as 0.
 */
const customer_t *customers_add(customers_t *customers, const char *name, double rate,
				double burst);

/* Returns false, and changes nothing, if the key belongs to another customer already. */
bool customers_add_key(customers_t *customers, const customer_t *customer,
		       const key_digest_t *digest);

/* The customer that the key belongs to, or NULL. */
const customer_t *customers_find_by_key(const customers_t *customers, const key_digest_t *digest);
const customer_t *customers_find_by_name(const customers_t *customers, const char *name);

size_t customers_count(const customers_t *customers);
