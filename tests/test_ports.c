/* Test runs on one VM don't get in each other's way. */
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"
#include "ports.h"
#include "site.h"

#define RUNS   12
#define ROUNDS 1000

/* Two runs that start at the same place, because their process numbers say so. */
static void test_two_at_once(void)
{
	ports_t one;
	ports_t two;

	ports_reserve(&one);
	ports_reserve(&two);
	g_assert_cmpint(one.first, !=, two.first);
	ports_release(&one);
	ports_release(&two);
}

/* A block that is given back can be taken again: taking goes on longer than there are blocks. */
static void test_given_back(void)
{
	for (int i = 0; i < ROUNDS; i++) {
		ports_t ports;

		ports_reserve(&ports);
		ports_release(&ports);
	}
}

/* Something that knows nothing of blocks listens on a port of one: the next is taken. */
static void test_foreign_listener(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int may_follow_closed = 1; /* as servers do; an earlier run has used the port */
	ports_t one;
	ports_t two;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &may_follow_closed, sizeof(may_follow_closed));
	ports_reserve(&one);
	sin.sin_port = htons((uint16_t)(one.first + 5));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	ports_release(&one);
	ports_reserve(&two);
	g_assert_cmpint(two.first, !=, one.first);
	ports_release(&two);
	close(fd);
}

/*
 * What is seen: a test that aborts, and the next one fails to bind. What happens: the processes of
 * the first are still being ended when the second looks for ports. Why inheriting the claim
 * suffices: the kernel closes it with the last process that could listen on the block.
 */
static void test_process_outlives_test(void)
{
	ports_t one;
	ports_t two;
	pid_t child;

	ports_reserve(&one);
	child = fork();
	if (child == 0) {
		pause();
		_exit(0);
	}
	ports_release(&one);
	ports_reserve(&two);
	g_assert_cmpint(two.first, !=, one.first);
	ports_release(&two);
	kill(child, SIGKILL);
	waitpid(child, NULL, 0);
}

/* Many runs look at the same moment, each in its own process; each gets a block of its own. */
static void test_many_processes(void)
{
	int results[2];
	int hold[2];
	int firsts[RUNS];

	g_assert_cmpint(pipe(results), ==, 0);
	g_assert_cmpint(pipe(hold), ==, 0);
	for (int i = 0; i < RUNS; i++) {
		if (fork() == 0) {
			ports_t ports;
			char c;

			close(hold[1]);
			ports_reserve(&ports);
			if (write(results[1], &ports.first, sizeof(int)) != sizeof(int))
				_exit(1);
			_exit(read(hold[0], &c, 1) == 0 ? 0 : 1);
		}
	}
	for (int i = 0; i < RUNS; i++) {
		g_assert_cmpint(read(results[0], &firsts[i], sizeof(int)), ==, sizeof(int));
		for (int k = 0; k < i; k++)
			g_assert_cmpint(firsts[i], !=, firsts[k]);
	}
	close(hold[1]);
	for (int i = 0; i < RUNS; i++) {
		int status = -1;

		wait(&status);
		g_assert_cmpint(status, ==, 0);
	}
	close(results[0]);
	close(results[1]);
	close(hold[0]);
}

/* Both kinds of fleet at once from one test, and two of the same kind. */
static void test_harnesses(void)
{
	harness_t *one = harness_start(5);
	harness_t *two = harness_start(5);
	site_harness_t *site = site_start(1);

	g_assert_cmpint(one->ports.first, !=, two->ports.first);
	g_assert_cmpint(site->ports.first, !=, one->ports.first);
	g_assert_cmpint(site->ports.first, !=, two->ports.first);
	site_stop(site);
	harness_stop(two);
	harness_stop(one);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ports/two-at-once", test_two_at_once);
	g_test_add_func("/ports/given-back", test_given_back);
	g_test_add_func("/ports/foreign-listener", test_foreign_listener);
	g_test_add_func("/ports/process-outlives-test", test_process_outlives_test);
	g_test_add_func("/ports/many-processes", test_many_processes);
	g_test_add_func("/ports/harnesses", test_harnesses);
	return g_test_run();
}
