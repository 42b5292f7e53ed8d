#include "fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <talloc.h>

#include "finding.h"
#include "harness.h"

/*
 * Ports of the stand-in: PORT_STORE is the offset of the store's port in the first block.
 * PORT_MEMBERS is the offset of the first member's port from the store's port, after the ports of
 * the promote call and of the listener that refuses all calls. MEMBER_LINK_OFFSET is the offset of
 * a member's link from the member's port.
 */
#define PORT_STORE	   1
#define PORT_MEMBERS	   3
#define MEMBER_LINK_OFFSET 26
/* Ports for callers, probes, operators and peers, and for the link to the store. */
#define PORTS_PER_PROXY	  5
#define PROXIES_PER_BLOCK (PORTS_PER_BLOCK / PORTS_PER_PROXY)

/* Delay before the restart of a process that exited by itself or missed its exit deadline. */
#define RESTART_DELAY (300 * USEC_PER_MSEC)
/* Time from fork() until the dynamic loader has loaded the program, on a busy VM. */
#define LOAD_TIME (100 * USEC_PER_MSEC)
/* The program is certainly loaded this long after fork(). */
#define LOAD_TIME_MAX (1 * USEC_PER_SEC)
/*
 * Time that the last iteration of the event loop may take after the shutdown grace, before the
 * process exits.
 */
#define EXIT_SLACK (1 * USEC_PER_SEC)

/* Interval of the checks of memory, descriptors and log size of a proxy. */
#define BOUNDS_INTERVAL (1 * USEC_PER_SEC)
/* Limits of memory and descriptors that the deployment sets for a proxy. */
#define MEMORY_MAX_KB (260 * 1024)
#define FDS_MAX	      4200
/*
 * Each call site may log 20 lines a second of some 400 bytes, and at most two dozen call sites log
 * in the same second. The lines at the start of a process have a limit of their own.
 */
#define LOG_RATE_MAX  (24 * 8 * 1024)
#define LOG_START_MAX (1024 * 1024)

#if defined(__SANITIZE_ADDRESS__)
/* The shadow memory and quarantine of AddressSanitizer count as memory of the process. */
#define CHECKS_MEMORY false
#else
#define CHECKS_MEMORY true
#endif

static usec_t fleet_now(const fleet_t *fleet)
{
	return clock_now(fleet->loop->clock);
}

int fleet_store_port(const fleet_t *fleet)
{
	return fleet->port_blocks[0].first + PORT_STORE;
}

int fleet_refusing_port(const fleet_t *fleet)
{
	return fleet_store_port(fleet) + 2;
}

int fleet_caller_port(const fleet_t *fleet, unsigned proxy)
{
	return fleet->port_blocks[1 + proxy / PROXIES_PER_BLOCK].first +
	       PORTS_PER_PROXY * (int)(proxy % PROXIES_PER_BLOCK);
}

int fleet_probe_port(const fleet_t *fleet, unsigned proxy)
{
	return fleet_caller_port(fleet, proxy) + 1;
}

static char *proxy_path(const fleet_t *fleet, const proxy_t *proxy, const char *suffix)
{
	return g_strdup_printf("%s/%s.%s", fleet->options.dir, proxy->name, suffix);
}

void fleet_add_span(GArray *spans, usec_t from, usec_t duration)
{
	const span_t span = {.from = from, .to = from + duration};

	g_array_append_val(spans, span);
}

bool fleet_spans_overlap(const GArray *spans, usec_t from, usec_t to)
{
	for (guint i = 0; i < spans->len; i++) {
		const span_t *span = &g_array_index(spans, span_t, i);

		if (span->from <= to && span->to >= from)
			return true;
	}
	return false;
}

/* --- proxies --- */

static void write_settings(const fleet_t *fleet, unsigned index)
{
	const proxy_t *proxy = &fleet->proxies[index];
	int port = fleet_caller_port(fleet, index);
	char *path = proxy_path(fleet, proxy, "toml");
	char *text = g_strdup_printf(
		"[node]\nname = \"%s\"\nzone = \"%s\"\n"
		"[callers]\nlisten = \"127.0.0.1:%d\"\n[probe]\nlisten = \"127.0.0.1:%d\"\n"
		"[operators]\nlisten = \"127.0.0.1:%d\"\n[peers]\nlisten = \"127.0.0.1:%d\"\n"
		"[store]\naddress = \"127.0.0.1:%d\"\n[promotion]\naddress = \"127.0.0.1:%d\"\n"
		"[shutdown]\ngrace_s = %d\n[log]\nlevel = \"%s\"\n",
		proxy->name, index % 3 == 0 ? "plateau" : "almadies", port,
		fleet_probe_port(fleet, index), port + 2, port + 3, port + 4,
		fleet_store_port(fleet) + 1, (int)(FLEET_SHUTDOWN_GRACE / USEC_PER_SEC),
		proxy->log_verbose ? "debug" : "info");

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(path);
}

static off_t log_size(const fleet_t *fleet, const proxy_t *proxy)
{
	char *path = proxy_path(fleet, proxy, "log");
	struct stat info;
	off_t size = stat(path, &info) == 0 ? info.st_size : 0;

	g_free(path);
	return size;
}

static void start_proxy(fleet_t *fleet, unsigned index)
{
	proxy_t *proxy = &fleet->proxies[index];
	char *program = harness_program_path("proxy/cyclamenspan");
	char *config = proxy_path(fleet, proxy, "toml");
	char *log = proxy_path(fleet, proxy, "log");
	char *argv[] = {program, "--pooler", "--config", config, NULL};
	int fd = g_open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	write_settings(fleet, index);
	proxy->log_start_size = log_size(fleet, proxy);
	proxy->pid = harness_spawn(argv, (const int[]){-1, fd, fd});
	proxy->state = PROXY_RUNNING;
	proxy->started_at = fleet_now(fleet);
	proxy->killed = false;
	proxy->restart_delay = RESTART_DELAY;
	proxy->sigterm_at = 0;
	proxy->exit_deadline = 0;
	proxy->paused_until = 0;
	close(fd);
	g_free(log);
	g_free(config);
	g_free(program);
}

/* A process can't exit while it is stopped, so a pause moves its exit deadline. */
static void extend_exit_deadline(proxy_t *proxy, usec_t duration)
{
	if (proxy->exit_deadline != 0)
		proxy->exit_deadline += duration;
}

void fleet_pause_proxy(fleet_t *fleet, unsigned index, usec_t until)
{
	proxy_t *proxy = &fleet->proxies[index];
	usec_t now = fleet_now(fleet);

	if (proxy->state == PROXY_DOWN || until <= now)
		return;
	kill(proxy->pid, SIGSTOP);
	extend_exit_deadline(proxy, until - now);
	if (until > proxy->paused_until)
		proxy->paused_until = until;
	fleet_add_span(proxy->disturbances, now, until - now);
}

static void resume_proxy(proxy_t *proxy, usec_t now)
{
	kill(proxy->pid, SIGCONT);
	proxy->paused_until = 0;
	/* SIGCONT may be sent late; the pause lasted until now. */
	fleet_add_span(proxy->disturbances, now, 0);
}

void fleet_kill_proxy(fleet_t *fleet, unsigned index, usec_t restart_delay)
{
	proxy_t *proxy = &fleet->proxies[index];

	fleet_add_span(proxy->disturbances, fleet_now(fleet), 0);
	proxy->restart_delay = restart_delay;
	if (proxy->state == PROXY_DOWN)
		return;
	proxy->killed = true;
	kill(proxy->pid, SIGKILL);
}

void fleet_stop_proxy(fleet_t *fleet, unsigned index, usec_t restart_delay)
{
	proxy_t *proxy = &fleet->proxies[index];
	usec_t now = fleet_now(fleet);

	if (proxy->state == PROXY_DOWN)
		return;
	/* A second SIGTERM is sent too; the deadline counts from the first. */
	kill(proxy->pid, SIGTERM);
	if (proxy->state == PROXY_STOPPING)
		return;
	proxy->state = PROXY_STOPPING;
	proxy->sigterm_at = now;
	proxy->exit_deadline = now + FLEET_SHUTDOWN_GRACE + EXIT_SLACK;
	if (proxy->paused_until > now)
		proxy->exit_deadline += proxy->paused_until - now;
	proxy->restart_delay = restart_delay;
}

void fleet_reload(fleet_t *fleet, unsigned index)
{
	proxy_t *proxy = &fleet->proxies[index];

	if (proxy->state == PROXY_DOWN)
		return;
	proxy->log_verbose = !proxy->log_verbose;
	write_settings(fleet, index);
	kill(proxy->pid, SIGHUP);
}

/* SIGTERM and SIGHUP end a process that has not yet installed its signal handlers. */
static bool was_signalled_while_loading(const proxy_t *proxy, int status, usec_t now)
{
	int signo = WIFSIGNALED(status) ? WTERMSIG(status) : 0;

	return (signo == SIGTERM || signo == SIGHUP) && now < proxy->started_at + LOAD_TIME;
}

/*
 * Returns true for an exit after SIGTERM. Exit status 1 means that the grace ended with requests in
 * progress, as after a pause.
 */
static bool is_requested_exit(const proxy_t *proxy, int status)
{
	return proxy->sigterm_at != 0 && WIFEXITED(status) && WEXITSTATUS(status) <= 1;
}

static void on_proxy_exit(fleet_t *fleet, proxy_t *proxy, int status, usec_t now)
{
	if (!proxy->killed && !fleet->stopping && !is_requested_exit(proxy, status) &&
	    !was_signalled_while_loading(proxy, status, now))
		finding_add(
			PROMISE_PROCESS, proxy->name,
			"exited unexpectedly: exit status %d, signal %d, %.1f ms after its start, %s",
			WIFEXITED(status) ? WEXITSTATUS(status) : -1,
			WIFSIGNALED(status) ? WTERMSIG(status) : 0,
			(double)(now - proxy->started_at) / USEC_PER_MSEC,
			proxy->sigterm_at != 0 ? "after SIGTERM" : "without SIGTERM");
	proxy->state = PROXY_DOWN;
	proxy->restart_at = now + proxy->restart_delay;
}

static void supervise_proxy(fleet_t *fleet, unsigned index, usec_t now)
{
	proxy_t *proxy = &fleet->proxies[index];
	int status;

	if (proxy->state != PROXY_DOWN && waitpid(proxy->pid, &status, WNOHANG) == proxy->pid)
		on_proxy_exit(fleet, proxy, status, now);
	if (proxy->state == PROXY_DOWN) {
		if (now >= proxy->restart_at && !fleet->stopping)
			start_proxy(fleet, index);
		return;
	}
	if (proxy->paused_until != 0 && now >= proxy->paused_until)
		resume_proxy(proxy, now);
	if (proxy->exit_deadline != 0 && now >= proxy->exit_deadline && proxy->paused_until == 0) {
		finding_add(PROMISE_PROCESS, proxy->name, "has not exited %.1f s after SIGTERM",
			    (double)(now - proxy->sigterm_at) / USEC_PER_SEC);
		fleet_kill_proxy(fleet, index, RESTART_DELAY);
		proxy->exit_deadline = 0;
	}
}

/* --- bounds --- */

static long read_rss_kb(pid_t pid)
{
	char path[64];
	char *text = NULL;
	long pages = 0;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*d %ld", &pages);
	g_free(text);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static long count_fds(pid_t pid)
{
	char path[64];
	GDir *dir;
	long count = 0;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	dir = g_dir_open(path, 0, NULL);
	if (dir == NULL)
		return 0;
	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	return count;
}

static void check_bounds(fleet_t *fleet, proxy_t *proxy, usec_t now)
{
	long rss = read_rss_kb(proxy->pid);
	long fds = count_fds(proxy->pid);
	off_t log = log_size(fleet, proxy) - proxy->log_start_size;
	usec_t age = now - proxy->started_at;

	proxy->peak_kb = MAX(proxy->peak_kb, rss);
	proxy->peak_fds = MAX(proxy->peak_fds, fds);
	if (CHECKS_MEMORY && rss > MEMORY_MAX_KB)
		finding_add(PROMISE_BOUNDS, proxy->name, "uses %ld KB of memory", rss);
	if (fds > FDS_MAX)
		finding_add(PROMISE_BOUNDS, proxy->name, "has %ld open descriptors", fds);
	if ((usec_t)log > LOG_START_MAX + LOG_RATE_MAX * age / USEC_PER_SEC)
		finding_add(PROMISE_BOUNDS, proxy->name, "wrote %ld bytes of log in %.1f s",
			    (long)log, (double)age / USEC_PER_SEC);
}

static void check_proxy_bounds(fleet_t *fleet, proxy_t *proxy, usec_t now)
{
	/* Between fork() and exec() the child has the memory and descriptors of the soak itself. */
	if (proxy->state != PROXY_DOWN && now >= proxy->started_at + LOAD_TIME_MAX)
		check_bounds(fleet, proxy, now);
}

void fleet_check_bounds(fleet_t *fleet, usec_t now)
{
	unsigned proxies = fleet->options.proxies;

	if (fleet->next_bounds_at + BOUNDS_INTERVAL < now)
		fleet->next_bounds_at = now - BOUNDS_INTERVAL;
	for (; fleet->next_bounds_at <= now; fleet->next_bounds_at += BOUNDS_INTERVAL / proxies)
		check_proxy_bounds(fleet, &fleet->proxies[fleet->next_bounds++ % proxies], now);
}

/* --- the platform --- */

void fleet_send_command(fleet_t *fleet, const char *fmt, ...)
{
	va_list args;
	char *text;
	ssize_t written;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	written = write(fleet->command_fd, text, strlen(text));
	if (written == (ssize_t)strlen(text))
		written = write(fleet->command_fd, "\n", 1);
	if (written != 1)
		finding_add(PROMISE_PROCESS, "platform", "command could not be written: %s",
			    strerror(errno));
	g_free(text);
}

static void add_routes(const fleet_t *fleet, GString *text, unsigned service)
{
	static const struct {
		const char *database;
		const char *kind;
		unsigned max_stale_ms;
	} routes[] = {
		{"jobs", "primary", 0}, {"lookups", "bounded", 1500}, {"updates", "session", 2500}};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%u-%zu\",\"host\":\"%s%u\",\"kind\":\"%s\",\"timeoutMs\":%u,"
			"\"sloMs\":300,\"priority\":1,\"service\":\"%s\"",
			service + i != 0 ? "," : "", service, i, routes[i].database, service,
			routes[i].kind, fleet->timeout_ms, ledger_service_name(service));
		if (routes[i].max_stale_ms != 0)
			g_string_append_printf(text, ",\"maxStaleMs\":%u", routes[i].max_stale_ms);
		g_string_append_c(text, '}');
	}
}

void fleet_send_config(fleet_t *fleet, unsigned timeout_ms)
{
	GString *text = g_string_new(NULL);

	fleet->config_version += 1 + timeout_ms % 3;
	fleet->timeout_ms = timeout_ms;
	g_string_append_printf(text, "{\"version\":%u,\"routes\":[", fleet->config_version);
	for (unsigned i = 0; i < fleet->options.services; i++)
		add_routes(fleet, text, i);
	g_string_append(text, "],\"services\":[");
	for (unsigned i = 0; i < fleet->options.services; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"maxConns\":%u,\"syncReplicas\":0}",
				       i != 0 ? "," : "", ledger_service_name(i),
				       fleet->options.member_connections);
	g_string_append(text, "],\"limits\":{\"txIdleMs\":3000}}");
	fleet_send_command(fleet, "config %s", text->str);
	g_string_free(text, TRUE);
}

void fleet_pause_platform(fleet_t *fleet, usec_t until)
{
	kill(fleet->platform, SIGSTOP);
	if (until > fleet->platform_paused_until)
		fleet->platform_paused_until = until;
}

static void on_record_output(loop_watch_t *watch)
{
	fleet_t *fleet = list_entry(watch, fleet_t, record_watch);
	char buffer[65536];
	ssize_t n = read(fleet->record_fd, buffer, sizeof(buffer));

	if (n > 0) {
		ledger_parse_output(fleet->ledger, buffer, (size_t)n);
		return;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	loop_watch_stop(watch);
	if (!fleet->stopping)
		finding_add(PROMISE_PROCESS, "platform", "the stand-in has exited");
}

static int start_standin(fleet_t *fleet)
{
	char *program = harness_program_path("tests/standin_site");
	char *numbers[] = {g_strdup_printf("%u", fleet->options.services),
			   g_strdup_printf("%u", fleet->options.member_slots),
			   g_strdup_printf("%u", fleet->options.member_connections),
			   g_strdup_printf("%d", MEMBER_LINK_OFFSET),
			   g_strdup_printf("%d", fleet_store_port(fleet))};
	char *argv[] = {program,    "--services",    numbers[0], "--slots",
			numbers[1], "--connections", numbers[2], "--link-offset",
			numbers[3], "--control",     numbers[4], NULL};
	int in[2];
	int out[2];
	int rc = -1;

	if (pipe2(in, O_CLOEXEC) == 0 && pipe2(out, O_CLOEXEC) == 0) {
		fcntl(out[1], F_SETPIPE_SZ, 1024 * 1024);
		fleet->platform = harness_spawn(argv, (const int[]){in[0], out[1], -1});
		close(in[0]);
		close(out[1]);
		fleet->command_fd = in[1];
		fleet->record_fd = out[0];
		fcntl(fleet->record_fd, F_SETFL, O_NONBLOCK);
		rc = loop_watch_start(fleet->loop, &fleet->record_watch, fleet->record_fd,
				      on_record_output);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		g_free(numbers[i]);
	g_free(program);
	return rc;
}

/* --- start and stop --- */

static int create_links(fleet_t *fleet)
{
	unsigned members = fleet->options.services * FLEET_MEMBERS;
	int port = fleet_store_port(fleet) + PORT_MEMBERS;

	fleet->member_links = talloc_zero_array(fleet, link_t *, members);
	for (unsigned i = 0; i < members; i++) {
		fleet->member_links[i] = link_create(
			fleet, fleet->loop, port + MEMBER_LINK_OFFSET + (int)i, port + (int)i);
		if (fleet->member_links[i] == NULL)
			return -1;
	}
	for (unsigned i = 0; i < fleet->options.proxies; i++) {
		fleet->proxies[i].store_link =
			link_create(fleet, fleet->loop, fleet_caller_port(fleet, i) + 4,
				    fleet_store_port(fleet));
		if (fleet->proxies[i].store_link == NULL)
			return -1;
	}
	return 0;
}

static int destructor(fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->options.proxies; i++)
		g_array_unref(fleet->proxies[i].disturbances);
	for (unsigned i = 0; i < SERVICES_MAX; i++)
		g_array_unref(fleet->member_faults[i]);
	return 0;
}

static void init_proxies(fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->options.proxies; i++) {
		proxy_t *proxy = &fleet->proxies[i];

		snprintf(proxy->name, sizeof(proxy->name), "p%u", i);
		proxy->disturbances = g_array_new(FALSE, FALSE, sizeof(span_t));
	}
	fleet->port_block_count =
		1 + (fleet->options.proxies + PROXIES_PER_BLOCK - 1) / PROXIES_PER_BLOCK;
	fleet->port_blocks = talloc_zero_array(fleet, ports_t, fleet->port_block_count);
	for (unsigned i = 0; i < fleet->port_block_count; i++)
		ports_reserve(&fleet->port_blocks[i]);
	for (unsigned i = 0; i < SERVICES_MAX; i++)
		fleet->member_faults[i] = g_array_new(FALSE, FALSE, sizeof(span_t));
	talloc_set_destructor(fleet, destructor);
}

fleet_t *fleet_create(void *parent, loop_t *loop, ledger_t *ledger, const fleet_options_t *options)
{
	fleet_t *fleet = talloc_zero(parent, fleet_t);

	fleet->options = *options;
	fleet->loop = loop;
	fleet->ledger = ledger;
	fleet->config_version = 3;
	fleet->proxies = talloc_zero_array(fleet, proxy_t, options->proxies);
	init_proxies(fleet);
	if (create_links(fleet) < 0 || start_standin(fleet) < 0) {
		talloc_free(fleet);
		return NULL;
	}
	fleet_send_config(fleet, 800);
	for (unsigned i = 0; i < options->proxies; i++)
		start_proxy(fleet, i);
	return fleet;
}

void fleet_tick(fleet_t *fleet, usec_t now)
{
	for (unsigned i = 0; i < fleet->options.proxies; i++)
		supervise_proxy(fleet, i, now);
	if (fleet->platform_paused_until != 0 && now >= fleet->platform_paused_until) {
		kill(fleet->platform, SIGCONT);
		fleet->platform_paused_until = 0;
	}
}

void fleet_stop(fleet_t *fleet)
{
	fleet->stopping = true;
	loop_watch_stop(&fleet->record_watch);
	for (unsigned i = 0; i < fleet->options.proxies; i++) {
		if (fleet->proxies[i].state != PROXY_DOWN)
			harness_kill(&fleet->proxies[i].pid);
	}
	harness_kill(&fleet->platform);
	for (unsigned i = 0; i < fleet->port_block_count; i++)
		ports_release(&fleet->port_blocks[i]);
	close(fleet->command_fd);
	close(fleet->record_fd);
}
