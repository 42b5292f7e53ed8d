/*
 * The scripts' plays. Usage: standin CASE TROUBLE SEED RECORD DIR PROGRAM
 *
 * Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READY_MS 15000.0
typedef struct route {
	const char *database;
	const char *kind;
	int timeout_ms;
	int objective_ms;
	int priority;
	int max_stale_ms;
} route_t;

typedef struct play {
	const char *name;
	int proxies;
	int zones;
	int callers;
	const route_t *routes; /* three */
	member_config_t members;
	caller_config_t load;
	const char *settings;
	bool (*run)(bool trouble, const char *dir); /* true: the rule was broken */
} play_t;

/* Shares of the callers' kinds: 15, 15 and 70 percent, about. */
static const char *const databases[] = {"assign", "lookup", "update", "update",
					"update", "update", "update"};

static const route_t dakar_routes[] = {
	{"assign", "primary", 800, 100, 1, 0},
	{"lookup", "bounded", 1200, 300, 2, 1500},
	{"update", "session", 800, 200, 2, 2500},
};
/* --- the operators' configuration --- */

static void put_config(const play_t *play)
{
	char text[4096] = "{\"version\":7,\"routes\":[";
	size_t len = strlen(text);

	for (int i = 0; i < 3; i++) {
		const route_t *route = &play->routes[i];

		len += (size_t)snprintf(
			text + len, sizeof(text) - len,
			"%s{\"name\":\"r-%d\",\"host\":\"%s\",\"prefix\":\"/\",\"kind\":\"%s\","
			"\"timeoutMs\":%d,\"sloMs\":%d,\"priority\":%d,\"service\":\"%s\","
			"\"attempts\":2,\"maxStaleMs\":%d}",
			i != 0 ? "," : "", i, route->database, route->kind, route->timeout_ms,
			route->objective_ms, route->priority, play->members.service,
			route->max_stale_ms);
	}
	snprintf(text + len, sizeof(text) - len,
		 "],\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":%d,"
		 "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}",
		 play->members.service, play->members.max_conns);
	store_put("op/config", text);
}

static void settle(double ms)
{
	loop_until(now_ms() + ms, NULL);
}

/* --- a member that fails a part of what it is asked --- */

static bool run_grey(bool trouble, const char *dir)
{
	(void)dir;
	settle(4000);
	for (int round = 0; round < 3; round++) {
		member_t *member = members_primary();

		if (trouble) {
			record("member %s (primary) begins to fail 0.45 of its requests",
			       member->id);
			member->grey_part = 0.45;
			member->grey_until = now_ms() + 6500;
		}
		settle(6500);
		settle(8500);
	}
	callers_stop();
	settle(2500);
	callers_check_writes();
	record("acknowledged writes: %u, of these not kept: %u; statements where PINNED forbids: "
	       "%u; promotes: %u",
	       caller_stats.acknowledged_writes, caller_stats.lost_writes, members_pinned_broken(),
	       members_promotes());
	printf("acknowledged writes %u, not kept %u; PINNED broken %u; promotes %u\n",
	       caller_stats.acknowledged_writes, caller_stats.lost_writes, members_pinned_broken(),
	       members_promotes());
	return members_pinned_broken() != 0;
}

/* --- floods of questions --- */

static bool run_flood(bool trouble, const char *dir)
{
	int machines = 0;

	(void)dir;
	proxies_limit_memory(260);
	settle(4000);
	for (int round = 0; round < 3; round++) {
		if (trouble) {
			record("100 clients at each proxy begin to flood it");
			rude_flood(100, 800, 6500);
		}
		settle(6500);
		settle(9000);
	}
	callers_stop();
	settle(1500);
	for (int k = 0; k < proxy_count; k++) {
		record("proxy %d: at most %.0f MB, ended for its memory %d times", k,
		       proxies[k].peak_mb, proxies[k].killed);
		printf("proxy %d: at most %.0f MB, ended for its memory %d times\n", k,
		       proxies[k].peak_mb, proxies[k].killed);
		machines += proxies[k].killed >= 3;
	}
	return machines >= 2;
}

/* --- a member whose time of day has jumped back between two starts --- */

static bool run_born(bool trouble, const char *dir)
{
	(void)dir;
	settle(4000);
	for (int round = 0; round < 3; round++) {
		member_t *member = members_primary() == &members[1] ? &members[2] : &members[1];

		if (trouble) {
			record("the time of day jumps ahead by 2400 ms at %s", member->id);
			member->clock_ms = 2400;
			members_crash(member, 400, 50);
			settle(1400);
			record("the time of day jumps back at %s", member->id);
			member->clock_ms = 0;
			members_crash(member, 400, 50);
			settle(600);
		}
		settle(8000);
		members_release(member, 12000);
		settle(18000);
	}
	callers_stop();
	record("statements that reached a draining member later than drainMs: %u",
	       members_late_runs());
	printf("statements that reached a draining member later than drainMs: %u\n",
	       members_late_runs());
	return members_late_runs() != 0;
}

static const play_t plays[] = {
	{
		.name = "grey",
		.proxies = 3,
		.zones = 3,
		.callers = 60,
		.routes = dakar_routes,
		.members = {.service = "core",
			    .slots = 2,
			    .max_conns = 16,
			    .work_ms = 4,
			    .handshake_ms = 12,
			    .lag_ms = 60,
			    .promote_ms = 1000},
		.load = {.pause_ms = 500,
			 .tx_part = 0.25,
			 .write_part = 0.35,
			 .set_part = 0.5,
			 .databases = 3,
			 .database_names = databases},
		.settings = "[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\n",
		.run = run_grey,
	},
	{
		.name = "flood",
		.proxies = 3,
		.zones = 3,
		.callers = 60,
		.routes = dakar_routes,
		.members = {.service = "core",
			    .slots = 2,
			    .max_conns = 16,
			    .work_ms = 4,
			    .handshake_ms = 12,
			    .lag_ms = 60,
			    .promote_ms = 1000},
		.load = {.pause_ms = 500,
			 .tx_part = 0.25,
			 .write_part = 0.35,
			 .set_part = 0.5,
			 .databases = 3,
			 .database_names = databases},
		.settings = "[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\n",
		.run = run_flood,
	},
	{
		.name = "born",
		.proxies = 3,
		.zones = 3,
		.callers = 60,
		.routes = dakar_routes,
		.members = {.service = "core",
			    .slots = 2,
			    .max_conns = 16,
			    .work_ms = 6,
			    .handshake_ms = 12,
			    .lag_ms = 20,
			    .promote_ms = 600,
			    .drain_ms = 7000},
		.load = {.pause_ms = 500,
			 .tx_part = 0.25,
			 .write_part = 0.2,
			 .set_part = 0.5,
			 .databases = 7,
			 .database_names = databases},
		.settings = "[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\n",
		.run = run_born,
	},
};

int main(int argc, char **argv)
{
	const play_t *play = NULL;
	proxy_config_t proxy_config = {0};
	bool broken;
	int ended;

	if (argc != 7) {
		fprintf(stderr, "usage: standin CASE TROUBLE SEED RECORD DIR PROGRAM\n");
		return 2;
	}
	for (size_t i = 0; i < sizeof(plays) / sizeof(plays[0]); i++) {
		if (strcmp(plays[i].name, argv[1]) == 0)
			play = &plays[i];
	}
	if (play == NULL)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	random_seed(strtoull(argv[3], NULL, 10));
	record_open(argv[4]);
	loop_init();
	store_start();
	members_start(&play->members);
	put_config(play);
	proxy_config = (proxy_config_t){
		.program = argv[6], .dir = argv[5], .extra = play->settings, .zones = play->zones};
	proxies_start(&proxy_config, play->proxies);
	if (!proxies_wait_ready(READY_MS)) {
		record("the proxies are not ready");
		proxies_end();
		record_close();
		return 2;
	}
	callers_start(&play->load, play->callers);
	broken = play->run(atoi(argv[2]) != 0, argv[5]);
	record("statements answered %u, succeeded %u, refused %u, in doubt %u, unanswered %u",
	       caller_stats.answered, caller_stats.succeeded, caller_stats.refused,
	       caller_stats.in_doubt, caller_stats.unanswered);
	ended = proxies_end();
	record("processes that ended by themselves: %d; rule %s", ended,
	       broken ? "broken" : "held");
	record_close();
	if (caller_stats.succeeded < 100)
		return 2;
	return broken ? 1 : 0;
}
