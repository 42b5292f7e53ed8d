/*
 * Runs a small fleet as real processes on loopback for tests and the demo: a
 * platform, groups of three backend servers, proxies.
 */
#pragma once

#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "ports.h"

#define HARNESS_MEMBERS	    3
#define HARNESS_MAX_PROXIES 9

typedef struct harness {
	char *dir; /* settings, secrets and logs */
	ports_t ports;
	pid_t platform;
	pid_t members[HARNESS_MEMBERS];
	pid_t proxies[HARNESS_MAX_PROXIES];
	int proxy_count;
	int lag_ms;
	char public_key[41]; /* of the fleet, for peers */
} harness_t;

/* Connections that a member allows; set before a start. */
extern int harness_member_max_conns;

/* Calls go over HTTP/2 instead of HTTP/1.1. */
extern gboolean harness_http2;

/* The programs that the build made; the environment's BUILD_DIR says where. */
char *harness_program_path(const char *name);

/* Start platform and members, with this replication lag. */
harness_t *harness_start(int lag_ms);
void harness_start_proxy(harness_t *h, int i, const char *extra_settings);

/* Start proxies, load the table and wait until a write goes through. */
harness_t *harness_start_fleet(int proxies, int lag_ms);

/* What the platform lists, with the VM of one member leaving (-1: none). */
void harness_set_vms(const harness_t *h, int leaving_member);

/* Kill what still runs and remove the files. */
void harness_stop(harness_t *h);

int harness_caller_port(const harness_t *h, int proxy);
int harness_operator_port(const harness_t *h, int proxy);
int harness_member_port(const harness_t *h, int member);

/* A JSON call; NULL if there was no answer. http_status may be NULL. */
json_t *harness_call(int port, const char *path, json_t *body, long *http_status);
json_t *harness_call_operator(const harness_t *h, int proxy, const char *path, json_t *body);

/* POST raw text, as a careless caller might. */
json_t *harness_post_raw(int port, const char *path, const char *text, long *http_status);

/* A statement on a member, past the proxies. NULL, or the first value. */
char *harness_run_sql(const harness_t *h, int member, const char *sql, const char *param);

/* Run cyclamenctl with these words; the exit code, and what it printed. */
int harness_run_ctl(const harness_t *h, int proxy, char **output, ...) G_GNUC_NULL_TERMINATED;

/*
 * Run argv[0] with these descriptors as standard input, output and error (-1: ours). It is killed
 * when this process ends, so that a test that fails by abort leaves nothing running.
 */
pid_t harness_spawn(char *const *argv, const int *fds);

void harness_kill(pid_t *pid);
/* Waits at most timeout_ms for an orderly end; its exit code, -1 if it did not come. */
int harness_wait_exit(pid_t *pid, int timeout_ms);

/* Text of an answer's field, "" if there is none. */
const char *harness_text_field(const json_t *answer, const char *key);

/* A request to proxy with service "dispatch". */
json_t *harness_write(const harness_t *h, int proxy, const char *key, const char *value,
		      const char *request_id, const char *token);
json_t *harness_read(const harness_t *h, int proxy, const char *class_name, const char *key,
		     const char *token);

/* Proxy number that serves the group, by proxy 0's dump; member number of its primary. */
int harness_find_home(const harness_t *h, int ask);
int harness_find_primary(const harness_t *h);
