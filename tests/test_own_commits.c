/* The positions of a session's own commits, by service. */
#include <glib.h>
#include <talloc.h>

#include "own_commits.h"

/* Services are only compared, never read. */
static const char services[OWN_COMMITS_MAX + 2];

static const struct service *service_at(size_t i)
{
	return (const struct service *)&services[i];
}

static void record(own_commits_t *commits, void *parent, size_t service, uint64_t lsn)
{
	position_t position = {.term = 1, .lsn = lsn};

	own_commits_record(commits, parent, service_at(service), &position, lsn);
}

static void test_positions_of_services_are_apart(void)
{
	void *parent = talloc_new(NULL);
	own_commits_t commits;
	own_commit_t commit;

	own_commits_init(&commits);
	g_assert_false(own_commits_find(&commits, service_at(0), &commit));
	record(&commits, parent, 0, 700);
	record(&commits, parent, 1, 12);
	g_assert_true(own_commits_find(&commits, service_at(0), &commit));
	g_assert_cmpuint(commit.position.lsn, ==, 700);
	g_assert_true(own_commits_find(&commits, service_at(1), &commit));
	g_assert_cmpuint(commit.position.lsn, ==, 12);
	g_assert_false(own_commits_find(&commits, service_at(2), &commit));
	talloc_free(parent);
}

/* Guards against reads that wait for a position of a log that was begun anew. */
static void test_newest_commit_counts(void)
{
	void *parent = talloc_new(NULL);
	own_commits_t commits;
	own_commit_t commit;

	own_commits_init(&commits);
	record(&commits, parent, 0, 700);
	record(&commits, parent, 0, 3);
	g_assert_true(own_commits_find(&commits, service_at(0), &commit));
	g_assert_cmpuint(commit.position.lsn, ==, 3);
	g_assert_cmpuint(commits.count, ==, 1);
	talloc_free(parent);
}

/* Guards against a session that misses its own write at a service whose entry was dropped. */
static void test_dropped_commit_counts_by_its_time(void)
{
	void *parent = talloc_new(NULL);
	own_commits_t commits;
	own_commit_t commit;

	own_commits_init(&commits);
	for (size_t i = 0; i <= OWN_COMMITS_MAX; i++)
		record(&commits, parent, i, 100 + i);
	g_assert_cmpuint(commits.count, ==, OWN_COMMITS_MAX);
	for (size_t i = 1; i <= OWN_COMMITS_MAX; i++) {
		g_assert_true(own_commits_find(&commits, service_at(i), &commit));
		g_assert_true(commit.has_position);
		g_assert_cmpuint(commit.position.lsn, ==, 100 + i);
	}
	g_assert_true(own_commits_find(&commits, service_at(0), &commit));
	g_assert_false(commit.has_position);
	g_assert_cmpuint(commit.at, ==, 100);
	/* A commit there is known by its position again. */
	record(&commits, parent, 0, 200);
	g_assert_true(own_commits_find(&commits, service_at(0), &commit));
	g_assert_true(commit.has_position);
	g_assert_true(own_commits_find(&commits, service_at(1), &commit));
	g_assert_false(commit.has_position);
	g_assert_cmpuint(commit.at, ==, 101);
	talloc_free(parent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/own-commits/by-service", test_positions_of_services_are_apart);
	g_test_add_func("/own-commits/newest", test_newest_commit_counts);
	g_test_add_func("/own-commits/dropped", test_dropped_commit_counts_by_its_time);
	return g_test_run();
}
