/*
 * The customers of one version of the configuration, their keys and their limits. A new version
 * brings a new table, so that nothing of an older one is left.
 */
#pragma once

#include "key.h"

typedef struct customer {
	const char *name;
	double rate;  /* operations a second over the whole fleet; 0: no limit */
	double burst; /* operations beyond it at once */
} customer_t;

typedef struct customers customers_t;

customers_t *customers_create(void *parent);

/* The customer stays valid as long as the table; NULL if it has one of that name. */
const customer_t *customers_add(customers_t *customers, const char *name, double rate,
				double burst);

/* False if a customer has the key already: it stays that one's. */
bool customers_add_key(customers_t *customers, const customer_t *customer,
		       const key_digest_t *digest);

/* Who holds the key, or NULL. */
const customer_t *customers_find_by_key(const customers_t *customers, const key_digest_t *digest);
const customer_t *customers_find_by_name(const customers_t *customers, const char *name);

size_t customers_count(const customers_t *customers);
