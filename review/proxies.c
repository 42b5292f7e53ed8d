/* Starts the project's proxies with the command of the deploy file, and asks whether they are
 * ready. */
#include "standin.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROBE_MS 250.0

proxy_t proxies[PROXIES_MAX];
int proxy_count;

static proxy_config_t config;

typedef struct probe {
	proxy_t *proxy;
	conn_t *conn;
} probe_t;

static void write_settings(int index)
{
	proxy_t *proxy = &proxies[index];
	FILE *file;

	snprintf(proxy->settings, sizeof(proxy->settings), "%s/p%d.toml", config.dir, index);
	file = fopen(proxy->settings, "w");
	if (file == NULL) {
		perror(proxy->settings);
		exit(2);
	}
	fprintf(file,
		"[node]\nname = \"front-zone-%d-%d\"\nzone = \"zone-%d\"\nprocessor = 0.25\n"
		"link_mbps = 1000.0\n"
		"[callers]\nlisten = \"127.0.0.1:%d\"\n[probe]\nlisten = \"127.0.0.1:%d\"\n"
		"[operators]\nlisten = \"127.0.0.1:%d\"\n[peers]\nlisten = \"127.0.0.1:%d\"\n"
		"[store]\naddress = \"127.0.0.1:%d\"\nlease_least_ms = 1000\n"
		"[promotion]\naddress = \"127.0.0.1:%d\"\n[shutdown]\ngrace_s = 6\n"
		"%s[log]\nlevel = \"info\"\njson = true\n",
		index % config.zones, index / config.zones + 1, index % config.zones, proxy->port,
		proxy->ready_port, proxy->operators_port, proxy->peers_port, store_port(),
		promotion_port(), config.extra);
	fclose(file);
}

static void spawn(int index)
{
	proxy_t *proxy = &proxies[index];
	char log[256];

	snprintf(log, sizeof(log), "%s/p%d.log", config.dir, index);
	proxy->pid = fork();
	if (proxy->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* No proxy outlives this process. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("CYCLAMENSPAN_SETTINGS", proxy->settings, 1);
		execl(config.program, config.program, "--pooler", (char *)NULL);
		_exit(127);
	}
}

/* --- the ready probe --- */

static void on_probe_input(conn_t *conn)
{
	probe_t *probe = conn->owner;
	proxy_t *proxy = probe->proxy;

	proxy->answered_at = now_ms();
	if (conn->in_len > 12 && memcmp(conn->in + 9, "200", 3) == 0)
		proxy->ready_at = now_ms();
	conn_close(conn);
	free(probe);
}

static void on_probe_closed(conn_t *conn)
{
	free(conn->owner);
}

static const conn_ops_t probe_ops = {.on_input = on_probe_input, .on_closed = on_probe_closed};

static void on_probe_due(void *arg)
{
	proxy_t *proxy = arg;
	probe_t *probe = calloc(1, sizeof(*probe));
	double quiet = now_ms() - proxy->answered_at;

	if (proxy->watched && quiet > proxy->longest_quiet) {
		if (quiet > 3000 && (int)(quiet / 1000) != (int)(proxy->longest_quiet / 1000))
			record("proxy %d has not answered GET /ready for %.0f ms",
			       (int)(proxy - proxies), quiet);
		proxy->longest_quiet = quiet;
	}
	probe->proxy = proxy;
	probe->conn = conn_connect(proxy->ready_port, &probe_ops, probe);
	if (probe->conn != NULL)
		conn_printf(probe->conn,
			    "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	else
		free(probe);
	after_ms(PROBE_MS, on_probe_due, proxy);
}

/* --- all of them --- */

void proxies_add(int count)
{
	int first = proxy_count;

	proxy_count += count;
	for (int i = first; i < proxy_count; i++) {
		proxies[i].port = free_port();
		proxies[i].ready_port = free_port();
		proxies[i].operators_port = free_port();
		proxies[i].peers_port = free_port();
	}
	for (int i = first; i < proxy_count; i++) {
		write_settings(i);
		spawn(i);
		on_probe_due(&proxies[i]);
	}
}

void proxies_start(const proxy_config_t *new_config, int count)
{
	config = *new_config;
	proxies_add(count);
}

/* --- the memory of a machine --- */

static double memory_limit;

static double resident_mb(pid_t pid)
{
	char path[64];
	long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(file);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static void on_start_again(void *arg)
{
	spawn((int)((proxy_t *)arg - proxies));
}

static void on_memory_check(void *arg)
{
	for (int i = 0; i < proxy_count; i++) {
		proxy_t *proxy = &proxies[i];
		double mb = proxy->pid > 0 ? resident_mb(proxy->pid) : 0;

		if (mb > proxy->peak_mb)
			proxy->peak_mb = mb;
		if (mb <= memory_limit)
			continue;
		record("proxy %d holds %.0f MB, its machine has %.0f: it is killed", i, mb,
		       memory_limit);
		proxy->killed++;
		kill(proxy->pid, SIGKILL);
		waitpid(proxy->pid, NULL, 0);
		proxy->pid = 0;
		after_ms(1000, on_start_again, proxy);
	}
	after_ms(50, on_memory_check, arg);
}

void proxies_limit_memory(double mb)
{
	memory_limit = mb;
	on_memory_check(NULL);
}

/* --- waiting and ending --- */

bool proxies_wait_ready(double ms)
{
	double end = now_ms() + ms;

	while (now_ms() < end) {
		int ready = 0;

		loop_until(now_ms() + 100, NULL);
		for (int i = 0; i < proxy_count; i++)
			ready += proxies[i].ready_at > now_ms() - 1000;
		if (ready == proxy_count)
			return true;
	}
	return false;
}

void proxies_watch(void)
{
	for (int i = 0; i < proxy_count; i++) {
		proxies[i].watched = true;
		proxies[i].answered_at = now_ms();
	}
}

int proxies_end(void)
{
	int ended = 0;

	for (int i = 0; i < proxy_count; i++) {
		int status;

		if (proxies[i].pid > 0 && waitpid(proxies[i].pid, &status, WNOHANG) != 0) {
			record("proxy %d had ended by itself, status %d", i, status);
			proxies[i].pid = 0;
			ended++;
		}
	}
	for (int i = 0; i < proxy_count; i++) {
		if (proxies[i].pid > 0)
			kill(proxies[i].pid, SIGKILL);
		if (proxies[i].pid > 0)
			waitpid(proxies[i].pid, NULL, 0);
	}
	return ended;
}
