#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib/gstdio.h>

#include "harness.h"

#define READY_TIMEOUT_MS   20000
#define RECEIVE_TIMEOUT_MS 10000

static int caller_port(const site_harness_t *site, int proxy)
{
	return site->ports.first + 8 + 4 * proxy;
}

int site_probe_port(const site_harness_t *site, int proxy)
{
	return caller_port(site, proxy) + 1;
}

int site_operators_port(const site_harness_t *site, int proxy)
{
	return caller_port(site, proxy) + 2;
}

static void write_settings(const site_harness_t *site, int proxy, const char *path)
{
	int port = caller_port(site, proxy);
	char *text = g_strdup_printf(
		"[node]\nname = \"p%d\"\nzone = \"plateau\"\n"
		"[callers]\nlisten = \"127.0.0.1:%d\"\n[probe]\nlisten = \"127.0.0.1:%d\"\n"
		"[operators]\nlisten = \"127.0.0.1:%d\"\n[peers]\nlisten = \"127.0.0.1:%d\"\n"
		"[store]\naddress = \"127.0.0.1:%d\"\n[promotion]\naddress = \"127.0.0.1:%d\"\n"
		"[shutdown]\ngrace_s = 4\n",
		proxy, port, port + 1, port + 2, port + 3, site->ports.first,
		site->ports.first + 1);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
}

static char *log_path(const site_harness_t *site, int proxy)
{
	char *name = g_strdup_printf("p%d.log", proxy);
	char *path = g_build_filename(site->dir, name, NULL);

	g_free(name);
	return path;
}

static char *settings_path(const site_harness_t *site, int proxy)
{
	char *name = g_strdup_printf("p%d.toml", proxy);
	char *path = g_build_filename(site->dir, name, NULL);

	g_free(name);
	return path;
}

static void spawn_proxy(site_harness_t *site, int proxy, int stdout_fd)
{
	char *config = settings_path(site, proxy);
	char *log = log_path(site, proxy);
	char *program = harness_program_path("proxy/cyclamenspan");
	char *argv[] = {program, "--pooler", "--config", config, NULL};
	int fd = stdout_fd >= 0 ? stdout_fd : g_open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	site->proxies[proxy] = harness_spawn(argv, (const int[]){-1, fd, -1});
	if (stdout_fd < 0)
		close(fd);
	g_free(config);
	g_free(log);
	g_free(program);
}

void site_start_proxy(site_harness_t *site, int proxy, int stdout_fd)
{
	char *config = settings_path(site, proxy);

	write_settings(site, proxy, config);
	spawn_proxy(site, proxy, stdout_fd);
	g_free(config);
}

void site_restart_proxy(site_harness_t *site, int proxy)
{
	spawn_proxy(site, proxy, -1);
}

site_harness_t *site_start(int proxies)
{
	site_harness_t *site = g_new0(site_harness_t, 1);
	char *program = harness_program_path("tests/standin_site");
	char *port;
	char *argv[3] = {program};

	site->dir = g_dir_make_tmp("cyclamenspan-site-XXXXXX", NULL);
	ports_reserve(&site->ports);
	port = g_strdup_printf("%d", site->ports.first);
	argv[1] = port;
	site->platform = harness_spawn(argv, (const int[]){-1, STDERR_FILENO, -1});
	for (int i = 0; i < proxies; i++)
		site_start_proxy(site, i, -1);
	for (int i = 0; i < proxies; i++)
		site_wait_until_ready(site, i);
	g_free(port);
	g_free(program);
	return site;
}

void site_stop(site_harness_t *site)
{
	GDir *dir = g_dir_open(site->dir, 0, NULL);
	const char *name;

	for (int i = 0; i < SITE_PROXIES_MAX; i++)
		harness_kill(&site->proxies[i]);
	harness_kill(&site->platform);
	ports_release(&site->ports);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(site->dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(site->dir);
	g_free(site->dir);
	g_free(site);
}

static size_t append_body(char *data, size_t size, size_t count, void *ptr)
{
	if (ptr != NULL)
		g_string_append_len(ptr, data, (gssize)(size * count));
	return size * count;
}

long site_http_get(const site_harness_t *site, int proxy, bool probe, const char *path,
		   GString *body)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d%s",
				    caller_port(site, proxy) + (probe ? 1 : 2), path);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 5000L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	g_free(url);
	return status;
}

char *site_read_log(const site_harness_t *site, int proxy)
{
	char *path = log_path(site, proxy);
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	return text != NULL ? text : g_strdup("");
}

/* --- callers --- */

site_caller_t *site_connect(const site_harness_t *site, int proxy)
{
	site_caller_t *caller = g_new0(site_caller_t, 1);
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)caller_port(site, proxy)),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(caller->fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
	return caller;
}

void site_disconnect(site_caller_t *caller)
{
	close(caller->fd);
	g_free(caller);
}

void site_send(site_caller_t *caller, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = send(caller->fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return; /* the proxy has closed; the next receive returns that */
		bytes += n;
		len -= (size_t)n;
	}
}

/* Length of the first reply, up to the end of its READY line; 0 if it is incomplete. */
static size_t reply_length(const site_caller_t *caller)
{
	const char *at = caller->buffer;
	const char *end = caller->buffer + caller->len;

	while (at < end) {
		const char *lf = memchr(at, '\n', (size_t)(end - at));

		if (lf == NULL)
			return 0;
		if (lf - at >= 6 && memcmp(at, "READY ", 6) == 0)
			return (size_t)(lf - caller->buffer) + 1;
		at = lf + 1;
	}
	return 0;
}

static char *consume_bytes(site_caller_t *caller, size_t len)
{
	char *text = g_strndup(caller->buffer, len);

	caller->len -= len;
	memmove(caller->buffer, caller->buffer + len, caller->len);
	return text;
}

char *site_receive_reply(site_caller_t *caller)
{
	struct pollfd ready = {.fd = caller->fd, .events = POLLIN};

	for (;;) {
		size_t len = reply_length(caller);
		ssize_t n;

		if (len != 0)
			return consume_bytes(caller, len);
		g_assert_cmpint(poll(&ready, 1, RECEIVE_TIMEOUT_MS), ==, 1);
		n = recv(caller->fd, caller->buffer + caller->len,
			 sizeof(caller->buffer) - caller->len, 0);
		if (n <= 0)
			return consume_bytes(caller, caller->len);
		caller->len += (size_t)n;
	}
}

site_caller_t *site_open_session(const site_harness_t *site, int proxy, const char *database)
{
	site_caller_t *caller = site_connect(site, proxy);
	char *line = g_strdup_printf("START %s tester\r\n", database);
	char *reply;

	site_send(caller, line, strlen(line));
	reply = site_receive_reply(caller);
	g_assert_cmpstr(reply, ==, "READY I -\r\n");
	g_free(line);
	g_free(reply);
	return caller;
}

char *site_query(site_caller_t *caller, const char *text)
{
	static unsigned next;
	char *line = g_strdup_printf("QUERY t%u %s\r\n", next++, text);

	site_send(caller, line, strlen(line));
	g_free(line);
	return site_receive_reply(caller);
}

/*
 * A proxy can be ready before writes succeed: the roster of a fleet that starts for the first time
 * names no primary yet.
 */
static bool accepts_writes(const site_harness_t *site, int proxy)
{
	site_caller_t *caller = site_open_session(site, proxy, "jobs");
	char *reply = site_query(caller, "WRITE warm up");
	bool taken = g_str_has_prefix(reply, "DONE");

	g_free(reply);
	site_disconnect(caller);
	return taken;
}

void site_wait_until_ready(const site_harness_t *site, int proxy)
{
	gint64 end = g_get_monotonic_time() + READY_TIMEOUT_MS * 1000;

	while (site_http_get(site, proxy, true, "/ready", NULL) != 200 ||
	       !accepts_writes(site, proxy)) {
		g_assert_cmpint(g_get_monotonic_time(), <, end);
		g_usleep(50000);
	}
}
