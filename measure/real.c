/*
 * Measurements on real processes; ./dev/measure capacity and path print them. Absolute figures
 * depend on the machine; compare the figures of one run.
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <libpq-fe.h>
#include <talloc.h>

#include "fleet.h"
#include "harness.h"
#include "state.h"
#include "table.h"

/* Time over which an idle fleet is measured. */
#define WINDOW_SEC 6
/* Size of the full deployment to which the measured slopes are extrapolated. */
#define DEPLOYMENT_PROXIES 2500
#define DEPLOYMENT_GROUPS  3500
#define ROWS_PER_GROUP	   2
/* Proxies that watch each group. */
#define WATCHERS 3

/* --- one process --- */

typedef struct usage {
	double cpu_sec;
	double rss_kb;
} usage_t;

static usage_t read_usage(pid_t pid)
{
	usage_t usage = {0};
	char *path = g_strdup_printf("/proc/%d/schedstat", pid);
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		usage.cpu_sec = g_ascii_strtod(text, NULL) / 1e9;
	g_free(text);
	g_free(path);
	/* RssAnon leaves out the pages of libraries, which are files that processes share. */
	path = g_strdup_printf("/proc/%d/status", pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		usage.rss_kb = g_ascii_strtod(strstr(text, "RssAnon:") + strlen("RssAnon:"), NULL);
	g_free(text);
	g_free(path);
	return usage;
}

/* --- one fleet, idle --- */

typedef struct fleet_load {
	double cpu_percent; /* of one core, mean of the proxies */
	double rss_kb;
	double peer_bytes;    /* sent and received a second, mean of the proxies */
	double control_bytes; /* exchanged with members a second, mean of the proxies */
	double store_calls;   /* calls a second of the whole fleet */
} fleet_load_t;

static double read_metric(const harness_t *h, int proxy, const char *name)
{
	char *text = NULL;
	char *line;
	double value = 0;

	harness_run_ctl(h, proxy, &text, "metrics", NULL);
	line = text != NULL ? strstr(text, name) : NULL;
	while (line != NULL && (line == text || line[-1] != '\n' || line[strlen(name)] != ' '))
		line = strstr(line + 1, name);
	if (line != NULL)
		value = g_ascii_strtod(line + strlen(name), NULL);
	g_free(text);
	return value;
}

static double count_member_bytes(const harness_t *h)
{
	double sum = 0;

	for (int i = 0; i < HARNESS_MEMBERS; i++) {
		char *value = harness_run_sql(h, i, "SELECT standin_stats()", NULL);

		sum += value != NULL ? g_ascii_strtod(value, NULL) : 0;
		g_free(value);
	}
	return sum;
}

static double count_store_calls(const harness_t *h)
{
	json_t *counts = harness_call(h->ports.first, "/control", NULL, NULL);
	double calls = (double)json_integer_value(json_object_get(counts, "calls"));

	json_decref(counts);
	return calls;
}

static double count_peer_bytes(const harness_t *h)
{
	double sum = 0;

	for (int i = 0; i < h->proxy_count; i++)
		sum += read_metric(h, i, "cyclamenspan_peer_bytes_sent_total");
	return sum;
}

static fleet_load_t measure_idle_fleet(const harness_t *h)
{
	fleet_load_t load = {0};
	double cpu = 0;
	double bytes = count_member_bytes(h);
	double peers = count_peer_bytes(h);
	double calls = count_store_calls(h);
	int count = h->proxy_count;

	for (int i = 0; i < count; i++)
		cpu -= read_usage(h->proxies[i]).cpu_sec;
	g_usleep(WINDOW_SEC * G_USEC_PER_SEC);
	for (int i = 0; i < count; i++) {
		usage_t usage = read_usage(h->proxies[i]);

		cpu += usage.cpu_sec;
		load.rss_kb += usage.rss_kb / count;
	}
	load.cpu_percent = 100.0 * cpu / count / WINDOW_SEC;
	load.store_calls = (count_store_calls(h) - calls) / WINDOW_SEC;
	/* Each byte sent by one proxy is received by another, hence the factor 2. */
	load.peer_bytes = 2.0 * (count_peer_bytes(h) - peers) / count / WINDOW_SEC;
	load.control_bytes = (count_member_bytes(h) - bytes) / count / WINDOW_SEC;
	return load;
}

static json_t *make_group(const harness_t *h)
{
	json_t *members = json_array();

	for (int i = 0; i < HARNESS_MEMBERS; i++) {
		char *name = g_strdup_printf("m%d", i);
		char *address = g_strdup_printf("127.0.0.1:%d", harness_member_port(h, i));

		json_array_append_new(members, json_pack("{s:s, s:s, s:s, s:i}", "name", name,
							 "zone", "plateau", "address", address,
							 "connections", 10000));
		g_free(name);
		g_free(address);
	}
	return json_pack("{s:o}", "members", members);
}

/* Adds groups with the same three members; the proxies watch and poll each group separately. */
static void add_groups(const harness_t *h, int groups, int rows_per_group)
{
	json_t *entries = json_object();
	char *path = g_build_filename(h->dir, "more.json", NULL);

	for (int g = 0; g < groups; g++) {
		char *key = g_strdup_printf("group/extra-%d", g);

		json_object_set_new(entries, key, make_group(h));
		g_free(key);
		for (int r = 0; r < rows_per_group; r++) {
			char *group = g_strdup_printf("extra-%d", g);

			key = g_strdup_printf("row/service-%d/class-%d", g, r);
			json_object_set_new(entries, key,
					    json_pack("{s:s, s:s, s:i}", "group", group, "kind",
						      "read", "connections", 4));
			g_free(key);
			g_free(group);
		}
	}
	json_dump_file(entries, path, JSON_COMPACT);
	if (groups > 0)
		g_assert_cmpint(harness_run_ctl(h, 0, NULL, "table", "apply", path, NULL), ==, 0);
	json_decref(entries);
	g_free(path);
	g_usleep(2 * G_USEC_PER_SEC);
}

static fleet_load_t measure_fleet(int proxies, int groups)
{
	harness_t *h;
	fleet_load_t load;

	harness_member_max_conns = 10000;
	h = harness_start_fleet(proxies, 5);
	add_groups(h, groups - 1, 1);
	load = measure_idle_fleet(h);
	printf("  %d proxies, %3d groups: %6.3f%% of a core, %7.0f KB, %8.0f B/s to peers, %8.0f "
	       "B/s to members a proxy; %5.1f calls/s on the store in all\n",
	       proxies, groups, load.cpu_percent, load.rss_kb, load.peer_bytes, load.control_bytes,
	       load.store_calls);
	harness_stop(h);
	return load;
}

/* Fits y = a + b x by least squares. */
static void fit_line(int count, const double *x, const double *y, double *a, double *b)
{
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;

	for (int i = 0; i < count; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	*b = (count * sxy - sx * sy) / (count * sxx - sx * sx);
	*a = (sy - *b * sx) / count;
}

#define SIZE_COUNT 3

typedef double (*field_getter_t)(const fleet_load_t *load);

static double get_cpu(const fleet_load_t *load)
{
	return load->cpu_percent;
}

static double get_rss(const fleet_load_t *load)
{
	return load->rss_kb;
}

static double get_peer_bytes(const fleet_load_t *load)
{
	return load->peer_bytes;
}

static double get_control_bytes(const fleet_load_t *load)
{
	return load->control_bytes;
}

static double get_store_calls(const fleet_load_t *load)
{
	return load->store_calls;
}

static void print_slope(const char *label, const char *per, const double *x,
			const fleet_load_t *loads, field_getter_t get_field, double deployment_x)
{
	double y[SIZE_COUNT];
	double a;
	double b;

	for (int i = 0; i < SIZE_COUNT; i++)
		y[i] = get_field(&loads[i]);
	fit_line(SIZE_COUNT, x, y, &a, &b);
	printf("    %-24s %10.3f + %9.4f for each %s; at %.1f: %.2f\n", label, a, b, per,
	       deployment_x, a + b * deployment_x);
}

static void measure_groups(void)
{
	static const int sizes[SIZE_COUNT] = {1, 12, 36};
	double x[SIZE_COUNT];
	fleet_load_t loads[SIZE_COUNT];
	double deployment_x = (double)DEPLOYMENT_GROUPS * WATCHERS / DEPLOYMENT_PROXIES;

	printf("Idle fleet, by number of watched groups (three proxies watch each group; a proxy "
	       "of the full deployment watches %.1f groups):\n",
	       deployment_x);
	for (int i = 0; i < SIZE_COUNT; i++) {
		x[i] = sizes[i];
		loads[i] = measure_fleet(3, sizes[i]);
	}
	print_slope("CPU, % of a core", "group", x, loads, get_cpu, deployment_x);
	print_slope("memory, KB", "group", x, loads, get_rss, deployment_x);
	print_slope("bytes/s to peers", "group", x, loads, get_peer_bytes, deployment_x);
	print_slope("bytes/s to members", "group", x, loads, get_control_bytes, deployment_x);
	print_slope("store calls/s, all", "group", x, loads, get_store_calls, deployment_x);
}

static void measure_proxies(void)
{
	static const int sizes[SIZE_COUNT] = {3, 6, 9};
	double x[SIZE_COUNT];
	fleet_load_t loads[SIZE_COUNT];
	/*
	 * Neighbours of a proxy in the full deployment: for each watched group two other watchers,
	 * counted in both directions, and three proxies by hash.
	 */
	double deployment_x =
		2 * (double)DEPLOYMENT_GROUPS * WATCHERS / DEPLOYMENT_PROXIES + WATCHERS;

	printf("Idle fleet, by number of proxies (one group; all proxies are neighbours; a proxy "
	       "of the full deployment has %.1f neighbours):\n",
	       deployment_x);
	for (int i = 0; i < SIZE_COUNT; i++) {
		x[i] = sizes[i] - 1;
		loads[i] = measure_fleet(sizes[i], 1);
	}
	print_slope("CPU, % of a core", "neighbour", x, loads, get_cpu, deployment_x);
	print_slope("memory, KB", "neighbour", x, loads, get_rss, deployment_x);
	print_slope("bytes/s to peers", "neighbour", x, loads, get_peer_bytes, deployment_x);
	print_slope("store calls/s, all", "neighbour", x, loads, get_store_calls, deployment_x);
}

static void measure_table(void)
{
	static const int sizes[SIZE_COUNT] = {100, 400, 1600};
	double entries[SIZE_COUNT];
	double memory[SIZE_COUNT];
	double cpu[SIZE_COUNT];
	double a;
	double b;
	double deployment_x = DEPLOYMENT_GROUPS * (1 + ROWS_PER_GROUP);

	printf("Operators' table, in process (groups with %d rows each; edits one after the other):\n",
	       ROWS_PER_GROUP);
	for (int i = 0; i < SIZE_COUNT; i++) {
		void *parent = talloc_new(NULL);
		table_t *table = table_create(parent);
		gint64 start;
		const int edits = 20;
		err_t err = {0};

		for (int g = 0; g < sizes[i]; g++) {
			for (int r = -1; r < ROWS_PER_GROUP; r++) {
				char *key = r < 0 ? talloc_asprintf(parent, "group/g%d", g)
						  : talloc_asprintf(parent, "row/s%d/c%d", g, r);
				char *value =
					r < 0 ? talloc_strdup(
							parent,
							"{\"members\":[{\"name\":\"m0\",\"zone\":\"z\","
							"\"address\":\"10.0.0.1:5432\"}]}")
					      : talloc_asprintf(parent,
								"{\"group\":\"g%d\",\"kind\":"
								"\"read\",\"connections\":4}",
								g);
				table_entry_t entry = {key, value, 1};

				g_assert_cmpint(table_merge(table, &entry, 1, 1, &err), ==, 1);
				talloc_free(key);
				talloc_free(value);
			}
		}
		start = g_get_monotonic_time();
		for (int e = 0; e < edits; e++) {
			table_entry_t entry = {"row/s0/c0", "{\"group\":\"g0\",\"kind\":\"read\"}",
					       2};

			g_assert_cmpint(table_check(table, &entry, 1, &err), ==, 0);
		}
		entries[i] = sizes[i] * (1 + ROWS_PER_GROUP);
		cpu[i] = (double)(g_get_monotonic_time() - start) / edits / 1000;
		memory[i] = (double)talloc_total_size(table) / 1024;
		printf("  %5.0f entries: %8.0f KB, check of an edit %7.2f ms\n", entries[i],
		       memory[i], cpu[i]);
		talloc_free(parent);
	}
	fit_line(SIZE_COUNT, entries, memory, &a, &b);
	printf("    memory, KB               %10.3f + %9.4f for each entry; at %.0f: %.0f\n", a, b,
	       deployment_x, a + b * deployment_x);
	fit_line(SIZE_COUNT, entries, cpu, &a, &b);
	printf("    check of an edit, ms     %10.3f + %9.4f for each entry; at %.0f: %.1f\n", a, b,
	       deployment_x, a + b * deployment_x);
}

static void rank_all_groups(const fleet_t *fleet, ranks_t *ranks)
{
	for (int g = 0; g < DEPLOYMENT_GROUPS; g++) {
		char key[32];

		snprintf(key, sizeof(key), "group-%d", g);
		fleet_rank(fleet, key, &ranks[g]);
	}
}

static double msec_since(gint64 start)
{
	return (double)(g_get_monotonic_time() - start) / 1000;
}

static fleet_t *make_fleet(int proxies)
{
	fleet_t *fleet = fleet_create(NULL, "p0", "z0", "10.0.0.0:9000");

	for (int p = 1; p < proxies; p++) {
		char *name = g_strdup_printf("p%d", p);
		char *zone = g_strdup_printf("z%d", p % 6);

		fleet_add(fleet, 1, name, zone, "10.0.0.0:9000", true);
		g_free(name);
		g_free(zone);
	}
	return fleet;
}

static void measure_ranks(void)
{
	static const int sizes[SIZE_COUNT] = {100, 500, DEPLOYMENT_PROXIES};
	double x[SIZE_COUNT];
	double initial[SIZE_COUNT];
	double replacement[SIZE_COUNT];
	double memory[SIZE_COUNT];
	double a;
	double b;

	printf("Ranks of %d groups, in process: computed from nothing, and again after one proxy "
	       "left and one joined:\n",
	       DEPLOYMENT_GROUPS);
	for (int i = 0; i < SIZE_COUNT; i++) {
		fleet_t *fleet = make_fleet(sizes[i]);
		ranks_t *ranks = g_new0(ranks_t, DEPLOYMENT_GROUPS);
		gint64 start = g_get_monotonic_time();

		rank_all_groups(fleet, ranks);
		initial[i] = msec_since(start);
		memory[i] = (double)talloc_total_size(fleet) / 1024;
		start = g_get_monotonic_time();
		fleet_set_leaving(fleet, fleet_find(fleet, "p7"));
		rank_all_groups(fleet, ranks);
		fleet_add(fleet, 2, "newcomer", "z3", "10.0.0.0:9000", true);
		rank_all_groups(fleet, ranks);
		replacement[i] = msec_since(start);
		x[i] = sizes[i];
		printf("  %5d proxies: %8.1f ms, after a replacement %6.2f ms, fleet %6.0f KB\n",
		       sizes[i], initial[i], replacement[i], memory[i]);
		g_free(ranks);
		talloc_free(fleet);
	}
	fit_line(SIZE_COUNT, x, initial, &a, &b);
	printf("    from nothing, ms         %10.3f + %9.4f for each proxy\n", a, b);
	fit_line(SIZE_COUNT, x, replacement, &a, &b);
	printf("    a replacement, ms        %10.3f + %9.4f for each proxy\n", a, b);
	fit_line(SIZE_COUNT, x, memory, &a, &b);
	printf("    fleet, KB                %10.3f + %9.4f for each proxy\n", a, b);
}

static void print_record_sizes(void)
{
	printf("Records in memory, bytes: group not watched %zu, member of a watched one %zu and %zu "
	       "of samples, proxy %zu, request %zu, pooled connection %zu\n",
	       sizeof(group_t), sizeof(member_t), GROUP_SAMPLES * sizeof(sample_t), sizeof(proxy_t),
	       sizeof(request_t), sizeof(conn_t));
}

static void measure_capacity(void)
{
	print_record_sizes();
	measure_table();
	measure_ranks();
	measure_groups();
	measure_proxies();
}

/* --- the path of a statement --- */

#define PATH_SEC     4
#define PATH_CLIENTS 16

typedef struct path_case {
	const char *name;
	const char *class_name; /* NULL: directly to the member */
	const char *statement;
	bool write;
} path_case_t;

#define SELECT_SQL "SELECT value FROM records WHERE key = $1"
#define WRITE_SQL                                                                                  \
	"INSERT INTO records (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2"

static const path_case_t path_cases[] = {
	{"straight, read", NULL, SELECT_SQL, false},
	{"straight, write", NULL, WRITE_SQL, true},
	{"proxy, aged read", "status", SELECT_SQL, false},
	{"proxy, strict read", "assignment", SELECT_SQL, false},
	{"proxy, write with id", "assign", WRITE_SQL, true},
};

static size_t ignore_body(char *data, size_t size, size_t count, void *ptr)
{
	(void)data;
	(void)ptr;
	return size * count;
}

typedef struct tally {
	gint64 count;
	gint64 failed;
	gint64 usec;
} tally_t;

static void run_through_proxy(const harness_t *h, const path_case_t *path, int client, gint64 end,
			      tally_t *tally)
{
	CURL *easy = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/statement",
				    harness_caller_port(h, client % h->proxy_count));

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_body);
	while (g_get_monotonic_time() < end) {
		char *body = g_strdup_printf(
			"{\"service\":\"dispatch\",\"class\":\"%s\",\"statement\":\"%s\","
			"\"params\":[\"job-%d\"%s]%s%d-%d-%d%s}",
			path->class_name, path->statement, client, path->write ? ",\"v\"" : "",
			path->write ? ",\"request_id\":\""
				    : ",\"deadline_ms\":5000,\"session\":\"new"
				      "\",\"request_id\":\"",
			getpid(), client, (int)tally->count, "\"");
		gint64 start = g_get_monotonic_time();
		long status = 0;

		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
		curl_easy_perform(easy);
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		tally->usec += g_get_monotonic_time() - start;
		tally->count++;
		tally->failed += status != 200;
		g_free(body);
	}
	curl_easy_cleanup(easy);
	g_free(url);
}

static void run_directly(const harness_t *h, const path_case_t *path, int client, gint64 end,
			 tally_t *tally)
{
	char *info = g_strdup_printf("hostaddr=127.0.0.1 port=%d user=t dbname=t sslmode=disable",
				     harness_member_port(h, 0));
	PGconn *pg = PQconnectdb(info);
	char key[32];
	const char *params[] = {key, "v"};

	snprintf(key, sizeof(key), "job-%d", client);
	while (g_get_monotonic_time() < end) {
		gint64 start = g_get_monotonic_time();
		PGresult *result = PQexecParams(pg, path->statement, path->write ? 2 : 1, NULL,
						params, NULL, NULL, 0);

		tally->usec += g_get_monotonic_time() - start;
		tally->count++;
		tally->failed += PQresultStatus(result) != PGRES_TUPLES_OK &&
				 PQresultStatus(result) != PGRES_COMMAND_OK;
		PQclear(result);
	}
	PQfinish(pg);
	g_free(info);
}

static pid_t start_client(const harness_t *h, const path_case_t *path, int client, gint64 end,
			  int out)
{
	pid_t pid = fork();
	tally_t tally = {0};

	if (pid != 0)
		return pid;
	if (path->class_name != NULL)
		run_through_proxy(h, path, client, end, &tally);
	else
		run_directly(h, path, client, end, &tally);
	_exit(write(out, &tally, sizeof(tally)) == sizeof(tally) ? 0 : 1);
}

static double sum_proxies_cpu(const harness_t *h)
{
	double cpu = 0;

	for (int i = 0; i < h->proxy_count; i++)
		cpu += read_usage(h->proxies[i]).cpu_sec;
	return cpu;
}

static void run_path(const harness_t *h, const path_case_t *path, int clients)
{
	gint64 end = g_get_monotonic_time() + PATH_SEC * G_USEC_PER_SEC;
	double cpu = sum_proxies_cpu(h);
	pid_t pids[PATH_CLIENTS];
	tally_t sum = {0};
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	for (int i = 0; i < clients; i++)
		pids[i] = start_client(h, path, i, end, fds[1]);
	for (int i = 0; i < clients; i++) {
		tally_t one = {0};

		g_assert_cmpint(read(fds[0], &one, sizeof(one)), ==, sizeof(one));
		waitpid(pids[i], NULL, 0);
		sum.count += one.count;
		sum.failed += one.failed;
		sum.usec += one.usec;
	}
	cpu = sum_proxies_cpu(h) - cpu;
	printf("%-22s %2d clients: %8.0f statements/s, mean %8.0f us, failed %d", path->name,
	       clients, (double)sum.count / PATH_SEC, (double)sum.usec / (double)sum.count,
	       (int)sum.failed);
	if (path->class_name != NULL)
		printf(", %8.0f statements/s per core of proxy", (double)sum.count / cpu);
	printf("\n");
	close(fds[0]);
	close(fds[1]);
}

static void measure_path(void)
{
	harness_t *h;

	harness_member_max_conns = 100;
	h = harness_start_fleet(3, 0);
	printf("Three proxies, three stand-in members, no replication lag, all on this machine; "
	       "one client, then %d.\n",
	       PATH_CLIENTS);
	for (gsize i = 0; i < G_N_ELEMENTS(path_cases); i++) {
		run_path(h, &path_cases[i], 1);
		run_path(h, &path_cases[i], PATH_CLIENTS);
	}
	harness_stop(h);
}

int main(int argc, char **argv)
{
	const char *measurement = argc > 1 ? argv[1] : "";

	setvbuf(stdout, NULL, _IOLBF, 0);
	if (strcmp(measurement, "capacity") == 0) {
		measure_capacity();
	} else if (strcmp(measurement, "path") == 0) {
		measure_path();
	} else {
		fprintf(stderr, "usage: measure_real capacity | path\n");
		return 2;
	}
	return 0;
}
