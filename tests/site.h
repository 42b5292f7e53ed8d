/*
 * Runs poolers as real processes on loopback, with the stand-in of the users'
 * platform behind them, for tests and the demo.
 */
#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>

#include "ports.h"

#define SITE_PROXIES_MAX 4

typedef struct site_harness {
	char *dir; /* settings and logs */
	ports_t ports;
	pid_t platform;
	pid_t proxies[SITE_PROXIES_MAX];
} site_harness_t;

/* A caller's connection; reads wait at most some seconds. */
typedef struct site_caller {
	int fd;
	char buffer[65536];
	size_t len;
} site_caller_t;

site_harness_t *site_start(int proxies);
void site_stop(site_harness_t *site);

/* stdout NULL: into a file in dir, named after the proxy. */
void site_start_proxy(site_harness_t *site, int proxy, int stdout_fd);

/* The same with the settings as they are. */
void site_restart_proxy(site_harness_t *site, int proxy);

/* Wait until the proxy says that it is ready and a write goes through. */
void site_wait_until_ready(const site_harness_t *site, int proxy);

/* Status of GET path at the probe's or the operators' address; body may be NULL. */
long site_http_get(const site_harness_t *site, int proxy, bool probe, const char *path,
		   GString *body);

int site_probe_port(const site_harness_t *site, int proxy);
int site_operators_port(const site_harness_t *site, int proxy);

/* The log of a proxy so far. */
char *site_read_log(const site_harness_t *site, int proxy);

site_caller_t *site_connect(const site_harness_t *site, int proxy);
void site_disconnect(site_caller_t *caller);
void site_send(site_caller_t *caller, const char *bytes, size_t len);

/* Everything up to and with the next line that begins with READY; or what came before the end. */
char *site_receive_reply(site_caller_t *caller);

/* Open a session and check that it is taken. */
site_caller_t *site_open_session(const site_harness_t *site, int proxy, const char *database);

/* One statement with a made-up id; the whole reply. */
char *site_query(site_caller_t *caller, const char *text);
