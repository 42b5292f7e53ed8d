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

typedef struct play {
	const char *name;
	int proxies;
	int zones;
	int callers;
	member_config_t members;
	caller_config_t load;
	const char *settings;
	bool (*run)(bool trouble); /* true: the rule was broken */
} play_t;

static const char *const databases[] = {"assign", "lookup", "update"};

/* --- the operators' configuration --- */

static void put_config(const play_t *play)
{
	char text[8192];
	int len;

	len = snprintf(
		text, sizeof(text),
		"{\"version\":7,\"routes\":["
		"{\"name\":\"r-1\",\"host\":\"assign\",\"prefix\":\"/\",\"kind\":\"primary\","
		"\"timeoutMs\":800,\"sloMs\":100,\"priority\":1,\"service\":\"%s\",\"attempts\":2,"
		"\"public\":%s},"
		"{\"name\":\"r-2\",\"host\":\"lookup\",\"prefix\":\"/\",\"kind\":\"bounded\","
		"\"timeoutMs\":1200,\"sloMs\":300,\"priority\":2,\"service\":\"%s\",\"attempts\":2,"
		"\"maxStaleMs\":1500,\"public\":%s},"
		"{\"name\":\"r-3\",\"host\":\"update\",\"prefix\":\"/\",\"kind\":\"session\","
		"\"timeoutMs\":800,\"sloMs\":200,\"priority\":2,\"service\":\"%s\",\"attempts\":2,"
		"\"maxStaleMs\":2500,\"public\":%s}],"
		"\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":%d,"
		"\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}",
		play->members.service, play->load.customers == 0 ? "true" : "false",
		play->members.service, play->load.customers == 0 ? "true" : "false",
		play->members.service, play->load.customers == 0 ? "true" : "false",
		play->members.service, play->members.max_conns);
	for (int i = 0; i < play->load.customers; i++)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"%s{\"name\":\"tenant%d\",\"apiKeys\":[\"key%04d\"],"
				"\"ratePerS\":100000,\"burst\":100000}",
				i == 0 ? ",\"tenants\":[" : ",", i, i);
	snprintf(text + len, sizeof(text) - (size_t)len, "%s}",
		 play->load.customers != 0 ? "]" : "");
	store_put("op/config", text);
}

static void settle(double ms)
{
	loop_until(now_ms() + ms, NULL);
}

/* --- case 1: a member that fails a part of what it is asked --- */

static bool run_grey(bool trouble)
{
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
	return caller_stats.lost_writes != 0 || members_pinned_broken() != 0;
}

/* --- case 2: a member starts again under its id --- */

static bool run_restart(bool trouble)
{
	settle(4000);
	proxies_watch();
	for (int round = 0; round < 6; round++) {
		if (trouble)
			members_crash(&members[round % MEMBERS], 300, 600);
		settle(8000);
	}
	callers_stop();
	for (int i = 0; i < proxy_count; i++) {
		record("proxy %d: longest time without an answer to GET /ready %.0f ms", i,
		       proxies[i].longest_quiet);
		printf("proxy %d: longest quiet %.0f ms\n", i, proxies[i].longest_quiet);
	}
	printf("answered %u, unanswered %u, promotes %u\n", caller_stats.answered,
	       caller_stats.unanswered, members_promotes());
	return false;
}

/* --- case 3: a planned change of primary after the fleet has grown --- */

static bool run_change(bool trouble)
{
	bool hung = false;

	settle(5000);
	record("four proxies are added");
	proxies_add(4);
	if (!proxies_wait_ready(10000))
		return false;
	settle(2000);
	proxies_watch();
	for (int round = 0; round < 7 && !hung; round++) {
		if (trouble)
			members_release(members_primary(), 8000);
		settle(11500);
		for (int k = 0; k < proxy_count; k++)
			hung = hung || proxies[k].longest_quiet > 10000;
	}
	callers_stop();
	for (int k = 0; k < proxy_count; k++) {
		record("proxy %d: longest time without an answer to GET /ready %.0f ms", k,
		       proxies[k].longest_quiet);
		printf("proxy %d: longest quiet %.0f ms\n", k, proxies[k].longest_quiet);
	}
	printf("answered %u, unanswered %u, promotes %u\n", caller_stats.answered,
	       caller_stats.unanswered, members_promotes());
	return hung;
}

/* --- case: floods of questions --- */

static bool run_flood(bool trouble)
{
	int machines = 0;

	proxies_limit_memory(260);
	settle(4000);
	for (int round = 0; round < 3; round++) {
		if (trouble) {
			record("100 clients at each proxy begin to flood it");
			rude_flood(100, 500, 6500);
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

static const play_t plays[] = {
	{
		.name = "grey",
		.proxies = 3,
		.zones = 3,
		.callers = 60,
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
		.name = "restart",
		.proxies = 7,
		.zones = 3,
		.callers = 210,
		.members = {.service = "core",
			    .slots = 2,
			    .max_conns = 16,
			    .work_ms = 6,
			    .handshake_ms = 12,
			    .lag_ms = 60,
			    .promote_ms = 1000},
		.load =
			{
				.pause_ms = 700,
				.tx_part = 0.3,
				.write_part = 0.2,
				.set_part = 0,
				.databases = 3,
				.database_names = databases,
			},
		.settings = "[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\n",
		.run = run_restart,
	},
	{
		.name = "flood",
		.proxies = 3,
		.zones = 3,
		.callers = 60,
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
		.name = "change",
		.proxies = 3,
		.zones = 3,
		.callers = 240,
		.members = {.service = "core",
			    .slots = 2,
			    .max_conns = 36,
			    .work_ms = 6,
			    .handshake_ms = 12,
			    .lag_ms = 60,
			    .promote_ms = 1000},
		.load = {.pause_ms = 450,
			 .tx_part = 0.3,
			 .write_part = 0.2,
			 .set_part = 0,
			 .databases = 3,
			 .database_names = databases,
			 .customers = 40},
		.settings = "[bounds]\nconfig_ms = 3000\nleaving_ms = 7000\nrevoke_ms = 5000\n"
			    "[limits]\nexcess = 0.1\nslack = 20\n",
		.run = run_change,
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
	broken = play->run(atoi(argv[2]) != 0);
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
