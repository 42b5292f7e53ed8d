/*
 * The parts around the proxies for the cases 4 and up of review/, in one process on loopback
 * addresses and the real clock: the metadata store, the promotion interface, one service of three
 * members, and clients. It starts the proxies with the command of deploy/system.toml, writes
 * record.txt and ends what it started.
 *
 * Usage: stage CASE FOLDER TROUBLE PROGRAM. Exit status: 1 if the rule was broken, 0 if it held, 2
 * if the case could not run.
 */
#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

stage_t stage;

/* --- time, record, end --- */

int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 - stage.started_ms;
}

void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(stage.record, "%7" PRId64 " ", now_ms());
	va_start(ap, fmt);
	vfprintf(stage.record, fmt, ap);
	va_end(ap);
	fputc('\n', stage.record);
}

static void remove_settings(proxy_t *proxy)
{
	char path[512];
	static const char *const names[] = {"settings.toml", "log"};

	for (size_t i = 0; i < 2; i++) {
		snprintf(path, sizeof(path), "%s/%s", proxy->folder, names[i]);
		unlink(path);
	}
	rmdir(proxy->folder);
}

void finish(int status)
{
	for (int i = 0; i < stage.proxy_count; i++) {
		proxy_t *proxy = &stage.proxies[i];

		if (proxy->pid > 0) {
			kill(proxy->pid, SIGCONT);
			kill(proxy->pid, SIGKILL);
			waitpid(proxy->pid, NULL, 0);
		}
		remove_settings(proxy);
	}
	note("exit status %d", status);
	fclose(stage.record);
	_exit(status);
}

void cannot_run(const char *why)
{
	note("the case could not run: %s", why);
	finish(2);
}

static void on_alarm(int signo)
{
	(void)signo;
	for (int i = 0; i < stage.proxy_count; i++) {
		if (stage.proxies[i].pid > 0)
			kill(stage.proxies[i].pid, SIGKILL);
	}
	_exit(2);
}

/* --- timers --- */

void after_ms(int64_t delay, void (*run)(void *arg), void *arg)
{
	timer_entry_t *timer = calloc(1, sizeof(*timer));
	timer_entry_t **at = &stage.timers;

	timer->due = now_ms() + delay;
	timer->run = run;
	timer->arg = arg;
	while (*at != NULL && (*at)->due <= timer->due)
		at = &(*at)->next;
	timer->next = *at;
	*at = timer;
}

static void run_timers(void)
{
	int64_t now = now_ms();

	while (stage.timers != NULL && stage.timers->due <= now) {
		timer_entry_t *timer = stage.timers;

		stage.timers = timer->next;
		timer->run(timer->arg);
		free(timer);
	}
}

/* --- connections --- */

link_t *link_add(int fd, link_ops_t ops, void *owner)
{
	link_t *link = calloc(1, sizeof(*link));
	int on = 1;

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->fd = fd;
	link->ops = ops;
	link->owner = owner;
	link->next = stage.links;
	stage.links = link;
	return link;
}

void link_close(link_t *link)
{
	if (link->fd < 0)
		return;
	close(link->fd);
	link->fd = -1;
	if (link->ops.on_close != NULL)
		link->ops.on_close(link);
}

/* Ends the connection with a reset, as the end of a process does that has unread input. */
void link_reset(link_t *link)
{
	struct linger linger = {.l_onoff = 1};

	if (link->fd >= 0)
		setsockopt(link->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	link_close(link);
}

static void link_flush(link_t *link)
{
	while (link->fd >= 0 && link->out_len != 0) {
		ssize_t n = send(link->fd, link->out, link->out_len, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN))
			return;
		if (n < 0) {
			link_close(link);
			return;
		}
		link->out_len -= (size_t)n;
		memmove(link->out, link->out + n, link->out_len);
	}
	if (link->fd >= 0 && link->close_when_sent)
		link_close(link);
}

void link_send(link_t *link, const char *data, size_t len)
{
	if (link->fd < 0)
		return;
	if (link->out_len + len > link->out_size) {
		link->out_size = 2 * (link->out_len + len);
		link->out = realloc(link->out, link->out_size);
	}
	memcpy(link->out + link->out_len, data, len);
	link->out_len += len;
	link_flush(link);
}

void link_printf(link_t *link, const char *fmt, ...)
{
	char text[4096];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	link_send(link, text, (size_t)len);
}

static void link_read(link_t *link)
{
	for (int i = 0; i < 64 && link->fd >= 0; i++) {
		ssize_t n;

		if (link->in_size - link->in_len < 16384) {
			link->in_size = 2 * link->in_size + 32768;
			link->in = realloc(link->in, link->in_size);
		}
		n = recv(link->fd, link->in + link->in_len, link->in_size - link->in_len - 1, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			link_close(link);
			return;
		}
		link->in_len += (size_t)n;
		link->in[link->in_len] = '\0';
		link->ops.on_input(link);
	}
}

void link_consume(link_t *link, size_t len)
{
	link->in_len -= len;
	memmove(link->in, link->in + len, link->in_len + 1);
}

/* Takes the first line out of the input; NULL if there is none. The caller frees it. */
char *link_take_line(link_t *link)
{
	char *end = link->in_len != 0 ? memmem(link->in, link->in_len, "\r\n", 2) : NULL;
	char *line;

	if (end == NULL)
		return NULL;
	line = strndup(link->in, (size_t)(end - link->in));
	link_consume(link, (size_t)(end - link->in) + 2);
	return line;
}

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

link_t *link_connect(int port, link_ops_t ops, void *owner)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0 || (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
		       errno != EINPROGRESS)) {
		close(fd);
		return NULL;
	}
	return link_add(fd, ops, owner);
}

/* port 0: any free one. Returns the socket, or -1. */
int listen_on(int *port)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 || listen(fd, 512) < 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&address, &len);
	*port = ntohs(address.sin_port);
	return fd;
}

static void on_acceptable(link_t *listener)
{
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0)
		listener->on_accept(fd, listener->owner);
}

link_t *listener_add(int fd, void (*on_accept)(int fd, void *owner), void *owner)
{
	link_t *link = link_add(fd, (link_ops_t){NULL, NULL}, owner);

	link->on_accept = on_accept;
	return link;
}

static void free_closed_links(void)
{
	link_t **at = &stage.links;

	while (*at != NULL) {
		link_t *link = *at;

		if (link->fd >= 0) {
			at = &link->next;
			continue;
		}
		*at = link->next;
		free(link->in);
		free(link->out);
		free(link);
	}
}

static void poll_links(int wait)
{
	static struct pollfd fds[4096];
	static link_t *links[4096];
	nfds_t count = 0;

	for (link_t *link = stage.links; link != NULL && count < 4096; link = link->next) {
		bool writes = link->out_len != 0 || link->connecting;

		fds[count] = (struct pollfd){
			.fd = link->fd,
			.events = (short)((link->paused ? 0 : POLLIN) | (writes ? POLLOUT : 0))};
		links[count++] = link;
	}
	if (poll(fds, count, wait) < 0)
		return;
	for (nfds_t i = 0; i < count; i++) {
		if (links[i]->fd != fds[i].fd || fds[i].revents == 0)
			continue;
		if (links[i]->on_accept != NULL) {
			on_acceptable(links[i]);
			continue;
		}
		if (fds[i].revents & POLLOUT)
			link_flush(links[i]);
		if (fds[i].revents & (POLLIN | POLLERR | POLLHUP))
			link_read(links[i]);
	}
	free_closed_links();
}

void run_until(int64_t end_ms)
{
	while (now_ms() < end_ms) {
		int64_t wait = end_ms - now_ms();

		run_timers();
		if (stage.timers != NULL && stage.timers->due - now_ms() < wait)
			wait = stage.timers->due - now_ms();
		poll_links(wait > 0 ? (int)wait : 0);
		if (stage.on_turn != NULL)
			stage.on_turn();
	}
}

/* --- proxies --- */

/*
 * Returns a listening socket on a free port below those that the system gives to outgoing
 * connections, so that none of them takes the port while its owner restarts.
 */
int listen_below(int *port)
{
	static int next;
	int fd = -1;

	if (next == 0)
		next = 15000 + (int)(getpid() * 61 % 14000);
	for (int i = 0; i < 2000 && fd < 0; i++) {
		*port = next++;
		if (next == 30000)
			next = 15000;
		fd = listen_on(port);
	}
	return fd;
}

static int free_port(void)
{
	int port;
	int fd = listen_below(&port);

	if (fd < 0)
		cannot_run("no free port");
	close(fd);
	return port;
}

static void write_settings(const proxy_t *proxy, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		cannot_run("the settings can't be written");
	fprintf(file,
		"[node]\nname = \"%s\"\nzone = \"%s\"\nprocessor = 0.25\nlink_mbps = 1000.0\n"
		"[callers]\nlisten = \"127.0.0.1:%d\"\n[probe]\nlisten = \"127.0.0.1:%d\"\n"
		"[operators]\nlisten = \"127.0.0.1:%d\"\n[peers]\nlisten = \"127.0.0.1:%d\"\n"
		"[store]\naddress = \"127.0.0.1:%d\"\nlease_least_ms = 1000\n"
		"[promotion]\naddress = \"127.0.0.1:%d\"\n[shutdown]\ngrace_s = 6\n"
		"[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\n"
		"[log]\nlevel = \"info\"\njson = true\n",
		proxy->name, proxy->zone, proxy->front_port, proxy->ready_port, proxy->metrics_port,
		proxy->peers_port, stage.store_port, stage.control_port);
	fclose(file);
}

void proxy_start(proxy_t *proxy)
{
	char path[512];
	char log_path[512];

	snprintf(path, sizeof(path), "%s/settings.toml", proxy->folder);
	snprintf(log_path, sizeof(log_path), "%s/log", proxy->folder);
	write_settings(proxy, path);
	proxy->pid = fork();
	if (proxy->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		setenv("CYCLAMENSPAN_SETTINGS", path, 1);
		execl(stage.program, stage.program, "--pooler", (char *)NULL);
		_exit(127);
	}
	note("proxy %s started, callers connect to 127.0.0.1:%d", proxy->name, proxy->front_port);
}

void proxies_start(int count)
{
	static const char *const zones[] = {"plateau", "almadies", "pikine"};

	for (int i = 0; i < count; i++) {
		proxy_t *proxy = &stage.proxies[stage.proxy_count];

		snprintf(proxy->name, sizeof(proxy->name), "front-%s-%d", zones[i % 3], i / 3 + 1);
		snprintf(proxy->zone, sizeof(proxy->zone), "%s", zones[i % 3]);
		snprintf(proxy->folder, sizeof(proxy->folder), "%s/stage-XXXXXX",
			 getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
		if (mkdtemp(proxy->folder) == NULL)
			cannot_run("no temporary folder");
		proxy->front_port = free_port();
		proxy->ready_port = free_port();
		proxy->metrics_port = free_port();
		proxy->peers_port = free_port();
		stage.proxy_count++;
		proxy_start(proxy);
	}
}

/* Processor time that the process has used. */
int64_t proxy_processor_ms(const proxy_t *proxy)
{
	char path[64];
	char text[1024];
	unsigned long user = 0;
	unsigned long kernel = 0;
	FILE *file;
	size_t len;
	const char *end;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)proxy->pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	len = fread(text, 1, sizeof(text) - 1, file);
	fclose(file);
	text[len] = '\0';
	end = strrchr(text, ')');
	if (end != NULL)
		sscanf(end + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		       &kernel);
	return (int64_t)(user + kernel) * 1000 / sysconf(_SC_CLK_TCK);
}

/* True if the process has ended by itself; its status is noted once. */
bool proxy_has_ended(proxy_t *proxy)
{
	int status;

	if (proxy->pid <= 0)
		return true;
	if (waitpid(proxy->pid, &status, WNOHANG) != proxy->pid)
		return false;
	proxy->pid = 0;
	if (WIFSIGNALED(status))
		note("proxy %s ended by signal %d", proxy->name, WTERMSIG(status));
	else
		note("proxy %s ended with status %d", proxy->name, WEXITSTATUS(status));
	return true;
}

/* --- readiness --- */

static void on_ready_input(link_t *link)
{
	proxy_t *proxy = link->owner;

	if (strstr(link->in, "\r\n\r\n") == NULL)
		return;
	proxy->probe = NULL;
	proxy->answered_at = now_ms();
	proxy->ready = strncmp(link->in, "HTTP/1.1 200", 12) == 0;
	if (proxy->ready && proxy->first_ready_at == 0)
		proxy->first_ready_at = now_ms();
	link_close(link);
}

static void on_ready_closed(link_t *link)
{
	proxy_t *proxy = link->owner;

	if (proxy->probe == link)
		proxy->probe = NULL;
}

/* Asks for the readiness again as soon as the last question is answered, at most every 50 ms. */
static void probe_proxy(void *arg)
{
	static const char request[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
	proxy_t *proxy = arg;

	after_ms(50, probe_proxy, proxy);
	if (proxy->probe != NULL || proxy->pid <= 0)
		return;
	proxy->probe = link_connect(proxy->ready_port,
				    (link_ops_t){on_ready_input, on_ready_closed}, proxy);
	if (proxy->probe == NULL)
		return;
	proxy->asked_at = now_ms();
	link_send(proxy->probe, request, strlen(request));
}

/* Waits until all proxies are ready. */
void await_ready(int64_t within)
{
	int64_t end = now_ms() + within;

	for (int i = 0; i < stage.proxy_count; i++)
		probe_proxy(&stage.proxies[i]);
	while (now_ms() < end) {
		int ready = 0;

		run_until(now_ms() + 50);
		for (int i = 0; i < stage.proxy_count; i++)
			ready += stage.proxies[i].ready;
		if (ready == stage.proxy_count) {
			note("all proxies are ready");
			return;
		}
	}
	cannot_run("the proxies are not ready");
}

int main(int argc, char **argv)
{
	char path[1024];
	struct timespec ts;

	if (argc != 5) {
		fprintf(stderr, "usage: stage CASE FOLDER TROUBLE PROGRAM\n");
		return 2;
	}
	clock_gettime(CLOCK_MONOTONIC, &ts);
	stage.started_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	snprintf(path, sizeof(path), "%s/record.txt", argv[2]);
	stage.record = fopen(path, "w");
	stage.trouble = strcmp(argv[3], "0") != 0;
	stage.program = argv[4];
	if (stage.record == NULL || access(stage.program, X_OK) != 0) {
		fprintf(stderr, "stage: no record or no program\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_alarm);
	signal(SIGINT, on_alarm);
	alarm(115);
	note("case %s, %s the disruption", argv[1], stage.trouble ? "with" : "without");
	platform_start();
	members_start();
	run_case(argv[1]);
	return 2;
}
