#include "variables.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

void variables_init(variables_t *set)
{
	list_init(&set->list);
	set->count = 0;
	set->fingerprint = 0;
}

static uint64_t variable_hash(const variable_t *variable)
{
	return XXH64(variable->value, strlen(variable->value),
		     XXH64(variable->name, strlen(variable->name), 0));
}

static variable_t *find_variable(const variables_t *set, slice_t name)
{
	list_for_each (it, &set->list) {
		variable_t *variable = list_entry(it, variable_t, node);

		if (strlen(variable->name) == name.len &&
		    memcmp(variable->name, name.at, name.len) == 0)
			return variable;
	}
	return NULL;
}

const variable_t *variables_find(const variables_t *set, slice_t name)
{
	return find_variable(set, name);
}

void variables_set(variables_t *set, void *parent, slice_t name, slice_t value)
{
	variable_t *variable = find_variable(set, name);

	if (variable == NULL) {
		variable = talloc_zero(parent, variable_t);
		variable->name = talloc_strndup(variable, name.at, name.len);
		list_add_tail(&set->list, &variable->node);
		set->count++;
	} else {
		set->fingerprint ^= variable_hash(variable);
		talloc_free(variable->value);
	}
	variable->value = talloc_strndup(variable, value.at, value.len);
	set->fingerprint ^= variable_hash(variable);
}

void variables_clear(variables_t *set)
{
	list_for_each_safe (it, &set->list)
		talloc_free(list_entry(it, variable_t, node));
	variables_init(set);
}

bool variables_is_subset(const variables_t *have, const variables_t *want)
{
	list_for_each (it, &have->list) {
		const variable_t *variable = list_entry(it, variable_t, node);

		if (find_variable(want, slice_of(variable->name, strlen(variable->name))) == NULL)
			return false;
	}
	return true;
}
