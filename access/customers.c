#include "customers.h"

#include <string.h>

#include <talloc.h>
#include <uthash.h>

typedef struct customer_entry {
	customer_t customer;
	UT_hash_handle hh; /* in customers_t.by_name */
} customer_entry_t;

typedef struct key_entry {
	key_digest_t digest;
	const customer_t *customer;
	UT_hash_handle hh; /* in customers_t.by_key */
} key_entry_t;

/*
 * Keys are looked up by digest. The time of a look-up reveals at most which digests exist to an
 * attacker who tries keys, and a key can't be derived from its digest.
 */
struct customers {
	customer_entry_t *by_name;
	key_entry_t *by_key;
};

static int customers_destructor(customers_t *customers)
{
	HASH_CLEAR(hh, customers->by_name);
	HASH_CLEAR(hh, customers->by_key);
	return 0;
}

customers_t *customers_create(void *parent)
{
	customers_t *customers = talloc_zero(parent, customers_t);

	talloc_set_destructor(customers, customers_destructor);
	return customers;
}

const customer_t *customers_find_by_name(const customers_t *customers, const char *name)
{
	const customer_entry_t *customer_entry;

	HASH_FIND_STR(customers->by_name, name, customer_entry);
	return customer_entry != NULL ? &customer_entry->customer : NULL;
}

const customer_t *customers_add(customers_t *customers, const char *name, double rate, double burst)
{
	customer_entry_t *customer_entry;
	char *copy;

	if (customers_find_by_name(customers, name) != NULL)
		return NULL;
	customer_entry = talloc_zero(customers, customer_entry_t);
	copy = talloc_strdup(customer_entry, name);
	customer_entry->customer = (customer_t){
		.name = copy,
		.rate = rate > 0 ? rate : 0,
		.burst = burst > 0 ? burst : 0,
	};
	HASH_ADD_KEYPTR(hh, customers->by_name, copy, strlen(copy), customer_entry);
	return &customer_entry->customer;
}

static key_entry_t *find_key_entry(const customers_t *customers, const key_digest_t *digest)
{
	key_entry_t *key_entry;

	HASH_FIND(hh, customers->by_key, digest, sizeof(*digest), key_entry);
	return key_entry;
}

bool customers_add_key(customers_t *customers, const customer_t *customer,
		       const key_digest_t *digest)
{
	key_entry_t *key_entry = find_key_entry(customers, digest);

	if (key_entry != NULL)
		return key_entry->customer == customer;
	key_entry = talloc_zero(customers, key_entry_t);
	key_entry->digest = *digest;
	key_entry->customer = customer;
	HASH_ADD(hh, customers->by_key, digest, sizeof(key_entry->digest), key_entry);
	return true;
}

const customer_t *customers_find_by_key(const customers_t *customers, const key_digest_t *digest)
{
	const key_entry_t *key_entry = find_key_entry(customers, digest);

	return key_entry != NULL ? key_entry->customer : NULL;
}

size_t customers_count(const customers_t *customers)
{
	return HASH_COUNT(customers->by_name);
}
