/*
 * Runs proxies in pooler mode (cyclamenspan --pooler) as processes on loopback, for tests and the
 * demo. standin_site, the stand-in for the users' platform, is their store and their members.
 */
#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>

#include "ports.h"

#define SITE_PROXIES_MAX 4

typedef struct site_harness {
	char *dir; /* temporary folder with settings and logs */
	ports_t ports;
	pid_t platform;
	pid_t proxies[SITE_PROXIES_MAX];
} site_harness_t;

/* A caller's connection to a proxy, with the bytes received beyond the last returned reply. */
typedef struct site_caller {
	int fd;
	char buffer[65536];
	size_t len;
} site_caller_t;

/* Starts the platform's stand-in and the proxies, and waits until each of them accepts writes. */
site_harness_t *site_start(int proxies);
void site_stop(site_harness_t *site);

/*
 * Writes the settings of the proxy and starts it. Its log goes to stdout_fd; if that is -1, to a
 * file in dir that is named after the proxy.
 */
void site_start_proxy(site_harness_t *site, int proxy, int stdout_fd);

/* Starts the proxy with its existing settings file, its log in the file in dir. */
void site_restart_proxy(site_harness_t *site, int proxy);

/* Waits until GET /ready of the proxy returns 200 and a write through it succeeds. */
void site_wait_until_ready(const site_harness_t *site, int proxy);

/*
 * GET of path at the probe's or the operators' port. Returns the HTTP status, 0 without a reply;
 * the body is appended to body unless that is NULL.
 */
long site_http_get(const site_harness_t *site, int proxy, bool probe, const char *path,
		   GString *body);

int site_probe_port(const site_harness_t *site, int proxy);
int site_operators_port(const site_harness_t *site, int proxy);

/* Content of the log file of the proxy, "" if there is none; the caller frees it. */
char *site_read_log(const site_harness_t *site, int proxy);

site_caller_t *site_connect(const site_harness_t *site, int proxy);
void site_disconnect(site_caller_t *caller);

/* Sends all bytes; stops without an error if the proxy has closed the connection. */
void site_send(site_caller_t *caller, const char *bytes, size_t len);

/*
 * Returns the bytes up to the end of the next READY line, or all that were received before the
 * proxy closed the connection. The test fails if nothing arrives for 10 s. The caller frees it.
 */
char *site_receive_reply(site_caller_t *caller);

/* Connects, opens a session for the database and checks that the proxy accepts it. */
site_caller_t *site_open_session(const site_harness_t *site, int proxy, const char *database);

/* Sends one statement with a generated request id; returns the complete reply. */
char *site_query(site_caller_t *caller, const char *text);
