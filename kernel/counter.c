#include "counter.h"

#include <inttypes.h>
#include <string.h>

static list_t counters = {.prev = &counters, .next = &counters};

void counter_register(counter_t *counter)
{
	list_add_tail(&counters, &counter->node);
}

const counter_t *counter_find(const char *name)
{
	list_for_each (it, &counters) {
		const counter_t *counter = list_entry(it, counter_t, node);

		if (strcmp(counter->name, name) == 0)
			return counter;
	}
	return NULL;
}

void counters_write(FILE *out)
{
	static const char *const type_names[] = {
		[COUNTER_SUM] = "counter",
		[COUNTER_GAUGE] = "gauge",
	};

	list_for_each (it, &counters) {
		const counter_t *counter = list_entry(it, counter_t, node);

		fprintf(out, "# HELP cyclamenspan_%s %s\n", counter->name, counter->help);
		fprintf(out, "# TYPE cyclamenspan_%s %s\n", counter->name,
			type_names[counter->type]);
		fprintf(out, "cyclamenspan_%s %" PRId64 "\n", counter->name, counter->value);
	}
}
