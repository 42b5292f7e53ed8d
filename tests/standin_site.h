/*
 * State of standin_site, the stand-in for the users' platform, and the interfaces between its
 * parts. One process is the metadata store, the promotion interface and the members of a few
 * services.
 */
#pragma once

#include "fake_db.h"
#include "fake_kv.h"
#include "httpd.h"
#include "loop.h"

#define SITE_MEMBERS	  3 /* per service */
#define SITE_SERVICES_MAX 8
/* Ports from the base: the store, the promotion interface, the refusing store, the members. */
#define SITE_FIRST_MEMBER_PORT 3

struct site;

/* A member, the socket on which it accepts connections, and its entry in the store. */
typedef struct listener {
	struct site *site;
	fake_member_t *member;
	h2o_socket_t *sock;
	char address[32];	/* as listed in the store */
	char listed_entry[512]; /* entry as last written, "" if there is none */
	usec_t stopped_at;	/* when its crash was noticed, 0: it runs */
	char listed_id[48];	/* member id of that entry */
} listener_t;

/*
 * How the promotion interface treats calls: it handles them, it promotes but sends no reply, or it
 * refuses them. The soak test switches between these.
 */
typedef enum { PROMOTION_NORMAL, PROMOTION_LOSE_REPLIES, PROMOTION_REFUSE } promotion_state_t;

typedef struct site {
	loop_t loop;
	fake_kv_t *kv;
	fake_kv_client_t client;
	fake_db_t *services[SITE_SERVICES_MAX];
	size_t service_count;
	httpd_t store;
	httpd_t promotion;
	httpd_t refusing_store; /* refuses every call with 503 */
	promotion_state_t promotion_state;
	listener_t listeners[SITE_SERVICES_MAX * SITE_MEMBERS];
	list_t links; /* connections from proxies to the members */
	run_timer_t list_timer;
	fake_events_t events;
	loop_watch_t control;	/* standard input */
	int listed_port_offset; /* added to the ports in the members' entries */
} site_t;

/*
 * Restores the store from its backup, then puts the newest configuration again, as the operators
 * do, and removes the members' entries, which the members write again.
 */
void site_restore(site_t *site);

/* --- members --- */

/* Listens for each member, on the ports from base on. Returns 0 or a negative errno. */
int members_listen(site_t *site, int base, err_t *err);

/*
 * Writes the entries of members that have changed to the store, and removes those of members that
 * have been stopped for longer than an entry lives.
 */
void members_update_entries(site_t *site);

/* Stops the member and closes its connections, as a crash of its process does. */
void members_crash(site_t *site, fake_member_t *member);

/* --- control --- */

/*
 * Starts to read commands from standard input, and to write a record of what the members do to
 * standard output: one line per event, fields separated by tabs, with the time by this VM's clock.
 */
int control_start(site_t *site);

/* Records a promotion call: the calling leader, its fencing token, and whether it was accepted. */
void control_record_promote(const char *leader, const char *fencing_token, const char *service,
			    const char *id, bool done);

/* Flushes the record to standard output. */
void control_flush(void);
