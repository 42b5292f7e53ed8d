/* The cases 4 and up of review/; see their claim.txt. */
#include "stage.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS_MAX 64

/* --- clients --- */

/* A client that sends one statement after the other. */
typedef struct client {
	link_t *link; /* NULL: not connected */
	proxy_t *proxy;
	const char *database;
	const char *verb;
	int number;
	int count; /* statements sent so far */
	bool started;
	char id[40]; /* of the statement in progress; "": none */
	int64_t sent_at;
	int64_t longest;
	int pause_ms;
	bool failed;
	char error[80];
	char acked[40]; /* its last write that was acknowledged */
} client_t;

static client_t clients[CLIENTS_MAX];
static int client_count;

static void send_next(void *arg)
{
	client_t *client = arg;
	char text[64];

	if (client->link == NULL || !client->started || client->id[0] != '\0')
		return;
	snprintf(client->id, sizeof(client->id), "c%d-%d", client->number, ++client->count);
	client->sent_at = now_ms();
	if (strcmp(client->verb, "WRITE") == 0)
		snprintf(text, sizeof(text), "WRITE k%d v%d", client->number, client->count);
	else
		snprintf(text, sizeof(text), "READ k%d", client->number);
	note("%s -> %s: %s", client->id, client->proxy->name, text);
	link_printf(client->link, "QUERY %s %s\r\n", client->id, text);
}

static void on_answered(client_t *client, bool done)
{
	int64_t took = now_ms() - client->sent_at;

	if (took > client->longest)
		client->longest = took;
	note("%s <- %s after %" PRId64 " ms", client->id, done ? "done" : client->error, took);
	if (done && strcmp(client->verb, "WRITE") == 0)
		snprintf(client->acked, sizeof(client->acked), "%s", client->id);
	client->id[0] = '\0';
	after_ms(done ? client->pause_ms : 30, send_next, client);
}

static void on_client_input(link_t *link)
{
	client_t *client = link->owner;
	char *line;

	while (link->fd >= 0 && (line = link_take_line(link)) != NULL) {
		if (strncmp(line, "ERR ", 4) == 0) {
			client->failed = true;
			snprintf(client->error, sizeof(client->error), "%s", line);
			if (!client->started)
				link_close(link);
		} else if (strncmp(line, "DONE ", 5) == 0) {
			client->failed = false;
		} else if (strncmp(line, "READY ", 6) == 0) {
			if (client->started)
				on_answered(client, !client->failed);
			else
				after_ms(1, send_next, client);
			client->started = true;
		}
		free(line);
	}
}

static void connect_client(void *arg);

static void on_client_closed(link_t *link)
{
	client_t *client = link->owner;

	if (client->id[0] != '\0')
		note("%s: the connection ended without an answer", client->id);
	client->link = NULL;
	client->started = false;
	client->id[0] = '\0';
	after_ms(200, connect_client, client);
}

static void connect_client(void *arg)
{
	client_t *client = arg;

	client->link = link_connect(client->proxy->front_port,
				    (link_ops_t){on_client_input, on_client_closed}, client);
	if (client->link == NULL)
		after_ms(200, connect_client, client);
	else
		link_printf(client->link, "START %s u%d\r\n", client->database, client->number);
}

static void add_clients(proxy_t *proxy, int count, const char *database, const char *verb,
			int pause_ms)
{
	for (int i = 0; i < count && client_count < CLIENTS_MAX; i++) {
		client_t *client = &clients[client_count];

		client->number = client_count++;
		client->proxy = proxy;
		client->database = database;
		client->verb = verb;
		client->pause_ms = pause_ms;
		connect_client(client);
	}
}

/* --- a member starts again under its id --- */

#define DOWN_MS	       500
#define FIRST_ENTRY_MS 300
/* The platform asks each proxy once a second whether it is ready. */
#define SILENCE_MAX_MS 1000

static void restart_member(void *arg)
{
	member_restart(arg, FIRST_ENTRY_MS);
}

/* Notes the silence of a proxy that does not answer the platform; returns its length so far. */
static int64_t check_silence(proxy_t *proxy, int64_t *noted, int64_t *processor_before)
{
	int64_t silent = proxy->probe != NULL ? now_ms() - proxy->asked_at : 0;

	if (silent < 200) {
		*noted = 0;
		*processor_before = proxy_processor_ms(proxy);
	} else if (silent >= *noted + 200) {
		*noted = silent;
		note("%s has not answered GET /ready for %" PRId64 " ms, and has used %" PRId64
		     " ms of processor time meanwhile",
		     proxy->name, silent, proxy_processor_ms(proxy) - *processor_before);
	}
	return silent;
}

static void case_restart(void)
{
	member_t *member = &members[2];
	int64_t noted[3] = {0};
	int64_t processor[3] = {0};
	int64_t worst = 0;
	int64_t end;
	size_t before;

	stage.births = true;
	stage.work_ms = 15;
	proxies_start(3);
	await_ready(10000);
	for (int i = 0; i < 3; i++) {
		add_clients(&stage.proxies[i], 14, "lookups", "READ", 10);
		add_clients(&stage.proxies[i], 2, "jobs", "WRITE", 100);
	}
	run_until(now_ms() + 3000);
	before = member->connects;
	if (stage.trouble) {
		member_crash(member);
		after_ms(DOWN_MS, restart_member, member);
	}
	end = now_ms() + 6000;
	while (now_ms() < end) {
		run_until(now_ms() + 20);
		for (int i = 0; i < 3; i++) {
			int64_t silent = check_silence(&stage.proxies[i], &noted[i], &processor[i]);

			worst = silent > worst ? silent : worst;
		}
	}
	for (int i = 0; i < client_count; i++) {
		if (clients[i].longest > SILENCE_MAX_MS)
			note("client %d of %s, %s: its longest wait for an answer was %" PRId64
			     " ms",
			     i, clients[i].proxy->name, clients[i].database, clients[i].longest);
	}
	note("longest silence of a proxy: %" PRId64
	     " ms; connections that the member accepted since: %zu",
	     worst, member->connects - before);
	finish(worst > SILENCE_MAX_MS);
}

/* --- a route moves to another service and back --- */

/* A session that writes, writes at the other service, and reads what it wrote first. */
typedef struct mover {
	link_t *link;
	proxy_t *proxy;
	const char *database;
	int number;
	bool started;
	bool failed;
	int answers;
	char row[64];
} mover_t;

#define MOVERS 24
static mover_t movers[MOVERS];

static void on_mover_input(link_t *link)
{
	mover_t *mover = link->owner;
	char *line;

	while (link->fd >= 0 && (line = link_take_line(link)) != NULL) {
		if (mover->started)
			note("  %s %d <- %s", mover->database, mover->number, line);
		if (strncmp(line, "ROW ", 4) == 0)
			snprintf(mover->row, sizeof(mover->row), "%s", line + 4);
		else if (strncmp(line, "ERR ", 4) == 0)
			mover->failed = true;
		else if (strncmp(line, "READY ", 6) == 0) {
			mover->answers += mover->started;
			mover->started = true;
		}
		free(line);
	}
}

static void on_mover_closed(link_t *link)
{
	mover_t *mover = link->owner;

	note("  %s %d: closed", mover->database, mover->number);
	mover->link = NULL;
	mover->failed = true;
}

static void move_step(int step, const char *statement)
{
	for (int i = 0; i < MOVERS; i++) {
		mover_t *mover = &movers[i];
		char text[64];

		if (mover->link == NULL || mover->failed)
			continue;
		snprintf(text, sizeof(text), statement, mover->number);
		note("  %s %d -> s%d-%d %s", mover->database, mover->number, step, mover->number,
		     text);
		mover->answers = 0;
		link_printf(mover->link, "QUERY s%d-%d %s\r\n", step, mover->number, text);
	}
	run_until(now_ms() + 150);
	for (int i = 0; i < MOVERS; i++)
		movers[i].failed = movers[i].failed || movers[i].answers == 0;
}

static void case_moved(void)
{
	int stale = 0;
	int judged = 0;

	proxies_start(3);
	await_ready(10000);
	for (int i = 0; i < 3; i++)
		add_clients(&stage.proxies[i], 4, "jobs", "WRITE", 60);
	for (int i = 0; i < MOVERS; i++) {
		movers[i] = (mover_t){.proxy = &stage.proxies[i % 3],
				      .database = i < MOVERS / 2 ? "updates" : "notes",
				      .number = i};
		movers[i].link =
			link_connect(movers[i].proxy->front_port,
				     (link_ops_t){on_mover_input, on_mover_closed}, &movers[i]);
		link_printf(movers[i].link, "START %s m%d\r\n", movers[i].database, i);
	}
	run_until(now_ms() + 1000);
	if (stage.trouble) {
		note("the replicas of core fall 2000 ms behind");
		members[1].lag_ms = 2000;
		members[2].lag_ms = 2000;
	}
	run_until(now_ms() + 3000);
	move_step(1, "WRITE m%d first");
	config_put(1);
	run_until(now_ms() + 350);
	move_step(2, "WRITE n%d second");
	config_put(0);
	run_until(now_ms() + 350);
	move_step(3, "READ m%d");
	for (int i = 0; i < MOVERS; i++) {
		if (movers[i].failed)
			continue;
		judged++;
		if (strcmp(movers[i].row, "first") != 0) {
			stale++;
			note("STALE: session %s %d read '%s', its own commit s1-%d was acknowledged",
			     movers[i].database, i, movers[i].row, i);
		}
	}
	note("%d sessions judged, %d of them without their own commit", judged, stale);
	if (judged == 0)
		cannot_run("no session came to its read");
	finish(stale != 0);
}

/* --- a replica that left, and the crash of the primary --- */

#define DRAIN_MS     7000
#define SUCCESSOR_MS 4000

static int lost;

/* Looks for acknowledged commits that the log of the promoted member lacks. */
static void check_log(member_t *member)
{
	for (int i = 0; i < client_count; i++) {
		bool found = clients[i].acked[0] == '\0';

		for (size_t k = member->log_len; k > 0 && !found; k--)
			found = strcmp(member->log[k - 1].id, clients[i].acked) == 0;
		if (found)
			continue;
		lost++;
		note("LOST: %s was acknowledged, and is not in the log of %s, which is promoted",
		     clients[i].acked, member->id);
	}
}

static void start_successor(void *arg)
{
	member_succeed(arg);
}

static void case_left(void)
{
	member_t *primary = &members[0];
	member_t *leaves = &members[1];
	member_t *deaf = &members[2];

	stage.sync_replicas = 1;
	stage.on_promoted = check_log;
	config_put(0);
	proxies_start(3);
	await_ready(10000);
	for (int i = 0; i < 3; i++)
		add_clients(&stage.proxies[i], 4, "jobs", "WRITE", 60);
	run_until(now_ms() + 2000);
	member_announce(leaves);
	run_until(now_ms() + DRAIN_MS + 500);
	if (stage.trouble) {
		note("member %s receives nothing", deaf->id);
		deaf->deaf = true;
	}
	run_until(now_ms() + 1000);
	member_end(leaves);
	after_ms(SUCCESSOR_MS, start_successor, leaves);
	run_until(now_ms() + 200);
	if (stage.trouble)
		member_crash(primary);
	run_until(now_ms() + 5300);
	if (stage.trouble) {
		note("member %s receives again", deaf->id);
		deaf->deaf = false;
	}
	run_until(now_ms() + 3000);
	note("%d acknowledged commits are not in the log of the member that was promoted", lost);
	finish(lost != 0);
}

void run_case(const char *name)
{
	if (strcmp(name, "left") == 0)
		case_left();
	if (strcmp(name, "moved") == 0)
		case_moved();
	if (strcmp(name, "restart") == 0)
		case_restart();
	cannot_run("no such case");
}
