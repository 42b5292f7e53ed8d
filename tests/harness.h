/*
 * Runs a small fleet as processes on loopback for tests and the demo: a stand-in
 * for the platform, one group of three stand-in backend servers, and proxies.
 */
#pragma once

#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "ports.h"

#define HARNESS_MEMBERS	    3
#define HARNESS_MAX_PROXIES 9

typedef struct harness {
	char *dir; /* temporary folder with settings, secrets and logs */
	ports_t ports;
	pid_t platform;
	pid_t members[HARNESS_MEMBERS];
	pid_t proxies[HARNESS_MAX_PROXIES];
	int proxy_count;
	int lag_ms;	     /* replication lag of the members */
	char public_key[41]; /* CURVE key that the proxies of the fleet share */
} harness_t;

/* Limit of SQL connections for members that harness_start() starts. */
extern int harness_member_max_conns;

/* Makes harness calls use HTTP/2 with prior knowledge instead of HTTP/1.1. */
extern gboolean harness_http2;

/* Path of a built program below $BUILD_DIR, by default build-test. */
char *harness_program_path(const char *name);

/* Starts the platform and the members, of which member 0 is the primary. */
harness_t *harness_start(int lag_ms);
void harness_start_proxy(harness_t *h, int i, const char *extra_settings);

/*
 * Starts platform, members and proxies, applies the operators' table and waits until a write
 * succeeds through each proxy.
 */
harness_t *harness_start_fleet(int proxies, int lag_ms);

/* Sets the platform's list of VMs; the VM of leaving_member (-1: none) is in state "leaving". */
void harness_set_vms(const harness_t *h, int leaving_member);

/* Kills the remaining processes and removes the files, which KEEP_LOGS in the environment keeps. */
void harness_stop(harness_t *h);

int harness_caller_port(const harness_t *h, int proxy);
int harness_operator_port(const harness_t *h, int proxy);
int harness_member_port(const harness_t *h, int member);

/*
 * Sends the JSON body, which is released, with POST, or a GET if body is NULL. Returns the reply,
 * NULL if there is none or it is not JSON. http_status may be NULL.
 */
json_t *harness_call(int port, const char *path, json_t *body, long *http_status);

/* The same at the operators' port of a proxy, with the operators' token. */
json_t *harness_call_operator(const harness_t *h, int proxy, const char *path, json_t *body);

/* Sends text, which need not be JSON, with POST. */
json_t *harness_post_raw(int port, const char *path, const char *text, long *http_status);

/*
 * Runs a statement on a member directly, without a proxy. Returns the first value of the first row,
 * NULL if there is none.
 */
char *harness_run_sql(const harness_t *h, int member, const char *sql, const char *param);

/* Runs cyclamenctl with these arguments. Returns its exit code; output, if not NULL, is stdout. */
int harness_run_ctl(const harness_t *h, int proxy, char **output, ...) G_GNUC_NULL_TERMINATED;

/*
 * Runs argv[0] with these descriptors as standard input, output and error (-1: inherited). The
 * kernel kills the new process when this one ends, so that a test that aborts leaves none running.
 */
pid_t harness_spawn(char *const *argv, const int *fds);

void harness_kill(pid_t *pid);

/*
 * Waits at most timeout_ms until the process exits. Returns its exit code, -1 if it still runs or
 * was ended by a signal.
 */
int harness_wait_exit(pid_t *pid, int timeout_ms);

/* String value of a field, "" if the field is missing or no string. */
const char *harness_text_field(const json_t *answer, const char *key);

/* Writes or reads a record of service "dispatch" through a proxy; returns the reply. */
json_t *harness_write(const harness_t *h, int proxy, const char *key, const char *value,
		      const char *request_id, const char *token);
json_t *harness_read(const harness_t *h, int proxy, const char *class_name, const char *key,
		     const char *token);

/* Number of the proxy that runs the group's requests (its home), by the state of this proxy. */
int harness_find_home(const harness_t *h, int proxy);

/* Number of the member that serves a linearizable read through proxy 0: the primary. */
int harness_find_primary(const harness_t *h);
