/*
 * Stand-ins for the platform, the members and the callers of the cases in this folder, in one
 * process with one event loop. The platform's pages say how they behave. Everything is on
 * 127.0.0.1.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MEMBERS	    3
#define PROXIES_MAX 9
#define CALLERS_MAX 400
#define VALUES_MAX  4

/* --- event loop --- */

struct conn;

typedef struct conn_ops {
	void (*on_input)(struct conn *conn);
	void (*on_closed)(struct conn *conn);
} conn_ops_t;

typedef struct conn {
	struct conn *next;
	int fd;
	bool dead;
	const conn_ops_t *ops;
	void *owner;
	char *in;
	size_t in_len;
	size_t in_size;
	char *out;
	size_t out_len;
	size_t out_size;
} conn_t;

typedef void (*timer_fn_t)(void *arg);
typedef void (*accept_fn_t)(conn_t *conn, void *arg);

double now_ms(void);
void loop_init(void);
/* Runs the loop until the time, or until *stop is set. */
void loop_until(double end, const bool *stop);
/* Calls fn once after so many milliseconds. */
void after_ms(double ms, timer_fn_t fn, void *arg);

/* Returns the port that was chosen. */
int listen_any(accept_fn_t fn, void *arg, int *fd);
void listen_again(int port, accept_fn_t fn, void *arg, int *fd);
void listen_stop(int fd);
int free_port(void);

conn_t *conn_connect(int port, const conn_ops_t *ops, void *owner);
void conn_send(conn_t *conn, const char *data, size_t len);
void conn_printf(conn_t *conn, const char *format, ...) __attribute__((format(printf, 2, 3)));
void conn_close(conn_t *conn);
/* Removes the first line, without its end, from the input; false if there is none yet. */
bool conn_line(conn_t *conn, char *line, size_t size);
void conn_consume(conn_t *conn, size_t len);

double random_unit(void);
double random_exponential(double mean);
void random_seed(uint64_t seed);

/* --- record --- */

void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void record_close(void);

/* --- the platform's store and its call to promote --- */

void store_start(void);
int store_port(void);
int promotion_port(void);
/* Writes a key as the operators and the members do. NULL deletes it. */
void store_put(const char *key, const char *text);

/* --- members --- */

typedef struct member {
	int index;
	char id[16];
	int port;
	int listen_fd;
	bool running;
	bool primary;
	bool draining;
	int slots_used;
	int conns;
	double grey_until; /* until then it fails a part of its requests */
	double grey_part;
	unsigned seq;
	long long born;	  /* Unix milliseconds of its start */
	unsigned accepts; /* connections since its start */
	double register_ms;
	long long clock_ms; /* by which its time of day is ahead */
	double draining_at; /* when its report was accepted */
	struct work *queue;
	uint64_t runs; /* statements of callers */
} member_t;

typedef struct member_config {
	const char *service;
	int slots;
	int max_conns;
	double work_ms;	     /* mean of a statement's time in a slot */
	double handshake_ms; /* until a new connection is accepted */
	double lag_ms;	     /* of the replicas */
	double promote_ms;   /* from the call to the lead */
	double drain_ms;     /* after that a draining member may get no statement */
} member_config_t;

extern member_t members[MEMBERS];

void members_start(const member_config_t *config);
member_t *members_primary(void);
/*
 * The member reports that it is draining, ends after that time, and a new one comes in its place.
 */
void members_release(member_t *member, double drain_ms);
/*
 * The member crashes and starts again under its id, with its log; its entry follows so much later.
 */
void members_crash(member_t *member, double down_ms, double register_ms);
/* False: this member is not running. */
bool members_promote(const char *id);
/* True if the log holds the write; *rolled_back: a promote has taken it out. */
bool members_have(const char *item, const char *data, bool *rolled_back);
unsigned members_promotes(void);
/* Statements that reached a draining member too late. */
unsigned members_late_runs(void);
/* Statements that ran where the rules forbid it. */
unsigned members_pinned_broken(void);

/* --- callers --- */

typedef struct caller {
	int index;
	int proxy;
	char database[24];
	char key[24];
	conn_t *conn;
	int phase;
	bool busy;
	double sent_at;
	unsigned seq; /* of its last statement */
	bool in_tx;
	unsigned tx_serial;
	int tx_left; /* statements before COMMIT */
	bool tx_fails;
	char values[VALUES_MAX][2][24];
	int value_count;
	bool prepared;
	char text[160];
	char item[24];
	char data[24];
	char tx_writes[4][2][24];
	int tx_write_count;
	char code[24];
	bool done;
	bool is_signed;
} caller_t;

typedef struct caller_config {
	double pause_ms; /* mean between two operations of a session */
	double tx_part;
	double write_part;
	double set_part; /* of the sessions that set values */
	int databases;
	const char *const *database_names;
} caller_config_t;

typedef struct caller_stats {
	unsigned answered;
	unsigned succeeded;
	unsigned refused;
	unsigned in_doubt;
	unsigned unanswered; /* for five seconds, far beyond each time-out */
	unsigned acknowledged_writes;
	unsigned lost_writes; /* acknowledged, not in the log, not rolled back by a promote */
} caller_stats_t;

extern caller_stats_t caller_stats;

void callers_start(const caller_config_t *config, int count);
/* So many times the usual operations. */
void callers_hurry(double times);
/* Begins no more operations. */
void callers_stop(void);
/* Compares the acknowledged writes with the members' log. */
void callers_check_writes(void);
const caller_t *caller_of_id(const char *id, unsigned *seq);

/* --- rude clients --- */

/* For so long, each sends so many kilobytes a second of questions, and reads its answers. */
void rude_flood(int peers_per_proxy, double kbytes_per_s, double ms);

/* --- proxies --- */

typedef struct proxy {
	int port;
	int ready_port;
	int operators_port;
	int peers_port;
	pid_t pid;
	double ready_at;      /* when it last answered 200 */
	double answered_at;   /* when it last answered at all */
	double longest_quiet; /* longest time without an answer, in milliseconds */
	bool watched;
	double peak_mb; /* of the memory that it holds */
	int killed;	/* times that the platform has ended it for its memory */
	char settings[256];
} proxy_t;

extern proxy_t proxies[PROXIES_MAX];
extern int proxy_count;

typedef struct proxy_config {
	const char *program;
	const char *dir;
	const char *extra; /* further settings */
	int zones;
} proxy_config_t;

void proxies_start(const proxy_config_t *config, int count);
/* Starts further ones. */
void proxies_add(int count);
/* Waits until all answer 200; false if they don't in time. */
bool proxies_wait_ready(double ms);
/* From now on, a process that ends or does not answer its probes counts. */
void proxies_watch(void);
/* Kills a process that exceeds the memory of its machine, and starts it again a second later. */
void proxies_limit_memory(double mb);
/* Ends all processes; returns how many had ended before by themselves. */
int proxies_end(void);
