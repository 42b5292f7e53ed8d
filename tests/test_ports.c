/* Test runs on one VM use different blocks of ports. */
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"
#include "ports.h"
#include "site.h"

#define PROCESSES 12
#define ROUNDS	  1000

/* Two reservations that begin at the same block, since both come from one process. */
static void test_two_reservations(void)
{
	ports_t one;
	ports_t two;

	ports_reserve(&one);
	ports_reserve(&two);
	g_assert_cmpint(one.first, !=, two.first);
	ports_release(&one);
	ports_release(&two);
}

/* A released block can be reserved again: there are more reservations than blocks. */
static void test_release(void)
{
	for (int i = 0; i < ROUNDS; i++) {
		ports_t ports;

		ports_reserve(&ports);
		ports_release(&ports);
	}
}

/* A block is skipped if a program that does not use blocks listens on one of its ports. */
static void test_foreign_listener(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int reuse_address = 1; /* as in servers; an earlier run may have used the port */
	ports_t one;
	ports_t two;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse_address, sizeof(reuse_address));
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
 * Guards against a test that fails to bind after another test has aborted. The processes of the
 * first test are still ending when the second reserves ports. Each of them has inherited the socket
 * that reserves the block, so the operating system closes the socket only with the last of them.
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

/* Many processes reserve at the same time; each of them gets a block of its own. */
static void test_many_processes(void)
{
	int result_pipe[2];
	int release_pipe[2];
	int first_ports[PROCESSES];

	g_assert_cmpint(pipe(result_pipe), ==, 0);
	g_assert_cmpint(pipe(release_pipe), ==, 0);
	for (int i = 0; i < PROCESSES; i++) {
		if (fork() == 0) {
			ports_t ports;
			char c;

			close(release_pipe[1]);
			ports_reserve(&ports);
			if (write(result_pipe[1], &ports.first, sizeof(int)) != sizeof(int))
				_exit(1);
			_exit(read(release_pipe[0], &c, 1) == 0 ? 0 : 1);
		}
	}
	for (int i = 0; i < PROCESSES; i++) {
		g_assert_cmpint(read(result_pipe[0], &first_ports[i], sizeof(int)), ==,
				sizeof(int));
		for (int k = 0; k < i; k++)
			g_assert_cmpint(first_ports[i], !=, first_ports[k]);
	}
	close(release_pipe[1]);
	for (int i = 0; i < PROCESSES; i++) {
		int status = -1;

		wait(&status);
		g_assert_cmpint(status, ==, 0);
	}
	close(result_pipe[0]);
	close(result_pipe[1]);
	close(release_pipe[0]);
}

/* One test starts two fleets of one harness and one of the other; all use different blocks. */
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
	g_test_add_func("/ports/two-at-once", test_two_reservations);
	g_test_add_func("/ports/given-back", test_release);
	g_test_add_func("/ports/foreign-listener", test_foreign_listener);
	g_test_add_func("/ports/process-outlives-test", test_process_outlives_test);
	g_test_add_func("/ports/many-processes", test_many_processes);
	g_test_add_func("/ports/harnesses", test_harnesses);
	return g_test_run();
}
