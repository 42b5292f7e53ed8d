#include "customers.h"

#include <string.h>

#include <talloc.h>
#include <uthash.h>

typedef struct entry {
	customer_t customer;
	UT_hash_handle hh; /* in customers_t.by_name */
} entry_t;

typedef struct holder {
	key_digest_t digest;
	const customer_t *customer;
	UT_hash_handle hh; /* in customers_t.by_key */
} holder_t;

/*
 * Looked up by digest: whoever tries keys learns from the time of a look at most which digests are
 * there, and can't make a key for a digest.
 */
struct customers {
	entry_t *by_name;
	holder_t *by_key;
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
	const entry_t *entry;

	HASH_FIND_STR(customers->by_name, name, entry);
	return entry != NULL ? &entry->customer : NULL;
}

const customer_t *customers_add(customers_t *customers, const char *name, double rate, double burst)
{
	entry_t *entry;
	char *copy;

	if (customers_find_by_name(customers, name) != NULL)
		return NULL;
	entry = talloc_zero(customers, entry_t);
	copy = talloc_strdup(entry, name);
	entry->customer = (customer_t){
		.name = copy,
		.rate = rate > 0 ? rate : 0,
		.burst = burst > 0 ? burst : 0,
	};
	HASH_ADD_KEYPTR(hh, customers->by_name, copy, strlen(copy), entry);
	return &entry->customer;
}

static holder_t *find_holder(const customers_t *customers, const key_digest_t *digest)
{
	holder_t *holder;

	HASH_FIND(hh, customers->by_key, digest, sizeof(*digest), holder);
	return holder;
}

bool customers_add_key(customers_t *customers, const customer_t *customer,
		       const key_digest_t *digest)
{
	holder_t *holder = find_holder(customers, digest);

	if (holder != NULL)
		return holder->customer == customer;
	holder = talloc_zero(customers, holder_t);
	holder->digest = *digest;
	holder->customer = customer;
	HASH_ADD(hh, customers->by_key, digest, sizeof(holder->digest), holder);
	return true;
}

const customer_t *customers_find_by_key(const customers_t *customers, const key_digest_t *digest)
{
	const holder_t *holder = find_holder(customers, digest);

	return holder != NULL ? holder->customer : NULL;
}

size_t customers_count(const customers_t *customers)
{
	return HASH_COUNT(customers->by_name);
}
