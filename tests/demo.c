/*
 * Runs a write, reads and a shutdown through two proxies with stand-ins for the platform and the
 * backend servers, all as processes. Started by dev/demo; also a test.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"

static void print_reply(const char *what, const json_t *answer)
{
	char *text = json_dumps(answer, JSON_COMPACT | JSON_ENCODE_ANY);

	printf("%s\n  %s\n", what, text);
	free(text);
}

int main(void)
{
	harness_t *h = harness_start_fleet(2, 5);
	json_t *wrote = harness_write(h, 0, "job-17", "truck 4", "demo-1", NULL);
	json_t *read =
		harness_read(h, 1, "assignment", "job-17", harness_text_field(wrote, "token"));
	json_t *status = harness_read(h, 1, "status", "job-17", harness_text_field(wrote, "token"));
	char *fleet = NULL;
	gboolean ok;

	printf("two proxies in two availability zones, one group of three backend servers\n");
	print_reply("write through p0 (repeatable by its request id):", wrote);
	print_reply("linearizable read through p1, same session:", read);
	print_reply("read of bounded age through p1, same session:", status);
	harness_run_ctl(h, 1, &fleet, "fleet", NULL);
	printf("cyclamenctl fleet, as p1 reports it:\n%s", fleet);
	ok = strcmp(harness_text_field(wrote, "outcome"), "done") == 0 &&
	     strcmp(harness_text_field(read, "outcome"), "done") == 0 &&
	     strcmp(harness_text_field(status, "outcome"), "done") == 0;
	for (int i = 0; i < 2; i++) {
		int code;

		kill(h->proxies[i], SIGTERM);
		code = harness_wait_exit(&h->proxies[i], 20000);
		printf("p%d shut down with exit code %d\n", i, code);
		ok = ok && code == 0;
	}
	json_decref(wrote);
	json_decref(read);
	json_decref(status);
	g_free(fleet);
	harness_stop(h);
	return ok ? 0 : 1;
}
