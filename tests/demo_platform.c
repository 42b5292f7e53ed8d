/*
 * Runs sessions, a transaction and the crash of a primary through two proxies in pooler mode in
 * front of standin_site, all as processes. Started by dev/demo --platform; also a test.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "site.h"

/* Runs a statement and prints its reply. Returns whether the reply begins as expected. */
static gboolean run_and_print(site_caller_t *caller, const char *text, const char *expected)
{
	char *reply = site_query(caller, text);
	gboolean ok = g_str_has_prefix(reply, expected);

	printf("> %s\n", text);
	for (char *line = strtok(reply, "\r\n"); line != NULL; line = strtok(NULL, "\r\n"))
		printf("  %s\n", line);
	g_free(reply);
	return ok;
}

/*
 * Repeats a statement every 100 ms until the reply begins as expected, 100 times at most, and
 * prints that reply. Returns whether there was one.
 */
static gboolean run_until_expected(site_caller_t *caller, const char *text, const char *expected)
{
	for (int i = 0; i < 100; i++) {
		char *reply = site_query(caller, text);
		gboolean ok = g_str_has_prefix(reply, expected);

		if (ok)
			printf("> %s\n  %s", text, reply);
		g_free(reply);
		if (ok)
			return TRUE;
		g_usleep(100000);
	}
	return FALSE;
}

int main(void)
{
	site_harness_t *site = site_start(2);
	site_caller_t *first = site_open_session(site, 0, "jobs");
	site_caller_t *second = site_open_session(site, 1, "updates");
	gboolean ok = TRUE;

	printf("two proxies, one service of three members; a session through p0:\n");
	ok = run_until_expected(first, "WRITE job-17 truck-4", "DONE core-0") && ok;
	ok = run_and_print(first, "BEGIN", "DONE -") && ok;
	ok = run_and_print(first, "READ job-17", "ROW truck-4") && ok;
	ok = run_and_print(first, "WRITE job-17 truck-5", "DONE core-0") && ok;
	ok = run_and_print(first, "COMMIT", "DONE core-0") && ok;
	printf("a session through p1 that reads its own write:\n");
	ok = run_and_print(second, "SET lang fr", "DONE -") && ok;
	ok = run_and_print(second, "PREPARE s1 WRITE q1", "DONE -") && ok;
	ok = run_and_print(second, "EXEC s1 job-18 towed", "DONE core-0") && ok;
	ok = run_and_print(second, "READ job-18", "ROW towed") && ok;
	printf("the primary crashes; another member is promoted:\n");
	kill(site->platform, SIGUSR1);
	g_usleep(200000);
	ok = run_until_expected(first, "WRITE job-17 truck-6", "DONE core-") && ok;
	site_disconnect(first);
	site_disconnect(second);
	for (int i = 0; i < 2; i++) {
		int code;

		kill(site->proxies[i], SIGTERM);
		code = harness_wait_exit(&site->proxies[i], 20000);
		printf("p%d shut down with exit code %d\n", i, code);
		ok = ok && code == 0;
	}
	site_stop(site);
	return ok ? 0 : 1;
}
