/* Parts of the stage that the cases 4 and up of review/ play on; see stage.c. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define PROXIES_MAX 9
#define SERVICES    2
#define MEMBERS	    3 /* of a service */

struct link;
struct member;

typedef struct link_ops {
	void (*on_input)(struct link *link);
	void (*on_close)(struct link *link);
} link_ops_t;

/* A connection or a listening socket. */
typedef struct link {
	struct link *next;
	int fd; /* -1: closed, and freed at the end of the turn */
	link_ops_t ops;
	void (*on_accept)(int fd, void *owner);
	void *owner;
	char *in;
	size_t in_len;
	size_t in_size;
	char *out;
	size_t out_len;
	size_t out_size;
	bool connecting;
	bool paused; /* nothing is read */
	bool close_when_sent;
} link_t;

typedef struct timer_entry {
	struct timer_entry *next;
	int64_t due;
	void (*run)(void *arg);
	void *arg;
} timer_entry_t;

typedef struct proxy {
	pid_t pid; /* 0: it has ended */
	char name[32];
	char zone[16];
	char folder[256];
	int front_port;
	int ready_port;
	int metrics_port;
	int peers_port;
	link_t *probe;
	int64_t asked_at;
	int64_t answered_at; /* when it last answered whether it is ready */
	int64_t first_ready_at;
	bool ready;
} proxy_t;

typedef struct stage {
	int64_t started_ms;
	FILE *record;
	bool trouble;
	const char *program;
	link_t *links;
	timer_entry_t *timers;
	void (*on_turn)(void); /* runs after each turn of the loop */
	int store_port;
	int control_port;
	proxy_t proxies[PROXIES_MAX];
	int proxy_count;
	int max_connections; /* that a member accepts */
	int slots;	     /* statements that a member runs at a time */
	int work_ms;	     /* time of a statement at a member */
	int sync_replicas;
	void (*on_promoted)(struct member *member); /* it leads, nothing was committed yet */
	bool births; /* the members' entries name the start of their process */
} stage_t;

extern stage_t stage;

int64_t now_ms(void);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void finish(int status) __attribute__((noreturn));
void cannot_run(const char *why) __attribute__((noreturn));
void after_ms(int64_t delay, void (*run)(void *arg), void *arg);
void run_until(int64_t end_ms);

link_t *link_add(int fd, link_ops_t ops, void *owner);
link_t *link_connect(int port, link_ops_t ops, void *owner);
link_t *listener_add(int fd, void (*on_accept)(int fd, void *owner), void *owner);
int listen_on(int *port);
int listen_below(int *port);
void link_close(link_t *link);
void link_reset(link_t *link);
void link_send(link_t *link, const char *data, size_t len);
void link_printf(link_t *link, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void link_consume(link_t *link, size_t len);
char *link_take_line(link_t *link);

void proxy_start(proxy_t *proxy);
void proxies_start(int count);
void await_ready(int64_t within);
int64_t proxy_processor_ms(const proxy_t *proxy);
bool proxy_has_ended(proxy_t *proxy);

/* --- stage_platform.c: the store and the promotion interface --- */

void platform_start(void);

/* Writes a key as the operator or a member does; value NULL: deletes it. */
void store_put(const char *key, const char *value);

/* --- stage_members.c --- */

typedef struct entry {
	uint64_t term;
	uint64_t number;
	int64_t at;
	char id[40];
	char item[24];
	char data[40];
} entry_t;

typedef struct member {
	char id[24];
	int service;
	int port;
	bool deaf;	  /* receives nothing */
	int lag_ms;	  /* after which a replica has applied a commit */
	bool leaving;	  /* announces that it leaves */
	link_t *listener; /* NULL: the process is down */
	bool primary;
	uint64_t term;
	int64_t born;
	int64_t started_at; /* when its process started */
	uint64_t seq;
	entry_t *log;
	size_t log_len;
	size_t applied; /* entries that reads on a replica see */
	int sessions;
	int64_t busy_until[8];
	size_t connects; /* connections accepted so far */
} member_t;

extern const char *const service_names[SERVICES];
extern member_t members[SERVICES * MEMBERS];

void members_start(void);
void member_crash(member_t *member);
void member_restart(member_t *member, int entry_delay);
void member_announce(member_t *member);
void member_end(member_t *member);
void member_succeed(member_t *member);
member_t *member_primary(int service);
void config_put(int updates);
bool member_promote(const char *id);

/* --- stage_cases.c --- */

void run_case(const char *name) __attribute__((noreturn));
