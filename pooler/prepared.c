#include "prepared.h"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

prepared_t *prepared_find(const list_t *names, slice_t name)
{
	list_for_each (it, names) {
		prepared_t *prepared = list_entry(it, prepared_t, node);

		if (slice_equals(slice_of(prepared->name, strlen(prepared->name)), name))
			return prepared;
	}
	return NULL;
}

void prepared_remove(prepared_t *prepared)
{
	list_del(&prepared->node);
	talloc_free(prepared);
}

void prepared_put(list_t *names, void *parent, slice_t name, slice_t shape, bool writes)
{
	prepared_t *prepared = prepared_find(names, name);

	if (prepared != NULL)
		prepared_remove(prepared);
	prepared = talloc_zero(parent, prepared_t);
	prepared->name = talloc_strndup(prepared, name.at, name.len);
	prepared->shape = talloc_strndup(prepared, shape.at, shape.len);
	prepared->writes = writes;
	prepared->alias = talloc_asprintf(prepared, "%c%016" PRIx64, writes ? 'w' : 'r',
					  (uint64_t)XXH64(shape.at, shape.len, 0));
	list_add_tail(names, &prepared->node);
}
