#include "counter.h"

#include <inttypes.h>
#include <string.h>

static list_t counters = {.prev = &counters, .next = &counters};
static list_t grids = {.prev = &grids, .next = &grids};

void counter_register(counter_t *counter)
{
	list_add_tail(&counters, &counter->node);
}

void counter_grid_register(counter_grid_t *grid)
{
	list_add_tail(&grids, &grid->node);
}

static int64_t grid_total(const counter_grid_t *grid)
{
	int64_t total = 0;

	for (size_t i = 0; i < grid->row_count * grid->column_count; i++)
		total += grid->values[i];
	return total;
}

int64_t counters_total(const char *name)
{
	int64_t total = 0;

	list_for_each (it, &counters) {
		const counter_t *counter = list_entry(it, counter_t, node);

		if (strcmp(counter->name, name) == 0)
			total += counter->value;
	}
	list_for_each (it, &grids) {
		const counter_grid_t *grid = list_entry(it, counter_grid_t, node);

		if (strcmp(grid->name, name) == 0)
			total += grid_total(grid);
	}
	return total;
}

static void write_head(FILE *out, const char *name, const char *help, counter_type_t type)
{
	static const char *const type_names[] = {
		[COUNTER_SUM] = "counter",
		[COUNTER_GAUGE] = "gauge",
	};

	fprintf(out, "# HELP cyclamenspan_%s %s\n", name, help);
	fprintf(out, "# TYPE cyclamenspan_%s %s\n", name, type_names[type]);
}

static void write_grid(FILE *out, const counter_grid_t *grid)
{
	write_head(out, grid->name, grid->help, COUNTER_SUM);
	for (size_t row = 0; row < grid->row_count; row++) {
		for (size_t column = 0; column < grid->column_count; column++)
			fprintf(out, "cyclamenspan_%s{%s=\"%s\",%s=\"%s\"} %" PRId64 "\n",
				grid->name, grid->row_label, grid->rows[row], grid->column_label,
				grid->columns[column],
				grid->values[row * grid->column_count + column]);
	}
}

void counters_write(FILE *out)
{
	list_for_each (it, &counters) {
		const counter_t *counter = list_entry(it, counter_t, node);

		write_head(out, counter->name, counter->help, counter->type);
		fprintf(out, "cyclamenspan_%s %" PRId64 "\n", counter->name, counter->value);
	}
	list_for_each (it, &grids)
		write_grid(out, list_entry(it, counter_grid_t, node));
}
