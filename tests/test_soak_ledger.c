/* The soak's ledger: which commits a read must show. */
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "ledger.h"

#define WRITES		     400
#define PROMOTE_ONE_IN	     20
#define SECOND_COMMIT_ONE_IN 10

static G_GNUC_PRINTF(2, 3) void record(ledger_t *ledger, const char *fmt, ...)
{
	va_list args;
	char *line;

	va_start(args, fmt);
	line = g_strdup_vprintf(fmt, args);
	va_end(args);
	ledger_parse_output(ledger, line, strlen(line));
	ledger_parse_output(ledger, "\n", 1);
	g_free(line);
}

static statement_t *acknowledge_write(ledger_t *ledger, usec_t now)
{
	attempt_t *attempt = ledger_add_attempt(ledger, 0, READS_PRIMARY, 0);
	statement_t *write = ledger_add_statement(ledger, attempt, KIND_WRITE);

	ledger_record_answer(ledger, write, STATUS_DONE, now);
	return write;
}

static void record_commit(ledger_t *ledger, const statement_t *write, position_t at)
{
	record(ledger, "C\t1\t%s\tcore-n0\t%" PRIu64 ".%" PRIu64 "\titem\tdata", write->id, at.term,
	       at.number);
}

static void record_promote(ledger_t *ledger, uint64_t term, position_t base)
{
	record(ledger, "P\t1\tcore\tcore-n0\t%" PRIu64 "\t%" PRIu64 "\t%" PRIu64, term, base.number,
	       base.term);
}

static bool shows_all(const ledger_t *ledger, position_t log, guint count)
{
	usec_t rolled_back_at;

	for (guint i = 0; i < count; i++) {
		const ack_t *ack = &g_array_index(ledger->services[0].acks, ack_t, i);

		for (const commit_t *it = ack->write->commits; it != NULL; it = it->next) {
			if (!ledger_log_includes(ledger, 0, log, it->position) &&
			    !ledger_was_rolled_back(ledger, 0, it->position, &rolled_back_at))
				return false;
		}
	}
	return true;
}

/*
 * Guards against a check of stale reads that passes a read whose log lacks an acknowledged commit:
 * after promotes, and after commits that are recorded late.
 */
static void test_newest_commit_stands_for_all(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	ledger_t *ledger = ledger_create(NULL);
	position_t end = {.term = 1};
	guint shown = 0;

	for (guint i = 1; i <= WRITES; i++) {
		statement_t *write = acknowledge_write(ledger, i);
		position_t log;

		if (g_rand_int_range(rand, 0, PROMOTE_ONE_IN) == 0) {
			end.number -= MIN(end.number, (uint64_t)g_rand_int_range(rand, 0, 4));
			record_promote(ledger, end.term + 1, end);
			end.term++;
		}
		end.number++;
		record_commit(ledger, write, end);
		if (g_rand_int_range(rand, 0, SECOND_COMMIT_ONE_IN) == 0) {
			guint earlier = (guint)g_rand_int_range(rand, 0, (gint32)i);

			end.number++;
			record_commit(ledger,
				      g_array_index(ledger->services[0].acks, ack_t, earlier).write,
				      end);
		}
		log = (position_t){
			.term = end.term,
			.number = end.number -
				  MIN(end.number, (uint64_t)g_rand_int_range(rand, 0, 3)),
		};
		for (guint count = 1; count <= i; count++) {
			if (!ledger_log_includes(ledger, 0, log,
						 ledger_newest_commit(ledger, 0, count)))
				continue;
			g_assert_true(shows_all(ledger, log, count));
			shown++;
		}
	}
	g_assert_cmpuint(shown, >, WRITES);
	talloc_free(ledger);
	g_rand_free(rand);
}

/* Guards against a read that need not show a write acknowledged before it began. */
static void test_acks_before(void)
{
	ledger_t *ledger = ledger_create(NULL);

	for (usec_t now = 10; now <= 30; now += 10)
		acknowledge_write(ledger, now);
	g_assert_cmpuint(ledger_count_acks(ledger, 0, 10), ==, 0);
	g_assert_cmpuint(ledger_count_acks(ledger, 0, 11), ==, 1);
	g_assert_cmpuint(ledger_count_acks(ledger, 0, 30), ==, 2);
	g_assert_cmpuint(ledger_count_acks(ledger, 0, 31), ==, 3);
	g_assert_cmpuint(ledger_count_acks(ledger, 1, 31), ==, 0);
	talloc_free(ledger);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/soak-ledger/newest-commit-stands-for-all",
			test_newest_commit_stands_for_all);
	g_test_add_func("/soak-ledger/acks-before", test_acks_before);
	return g_test_run();
}
