/*
 * The stand-in for the users' platform: what its parts share. One process is
 * the metadata store, the call to promote, and the members of a few services.
 */
#pragma once

#include "fake_db.h"
#include "fake_kv.h"
#include "httpd.h"
#include "loop.h"

#define SITE_MEMBERS	  3 /* of a service */
#define SITE_SERVICES_MAX 8
/* The store, the promote call and the door that turns everyone away, then the members. */
#define SITE_FIRST_MEMBER 3

struct site;

typedef struct listener {
	struct site *site;
	fake_member_t *member;
	h2o_socket_t *sock;
	char address[32];
	char listed[512]; /* its entry as last written, "" for none */
	usec_t stopped_at;
	char listed_id[48];
} listener_t;

/* What the promote call does, as the soak asks. */
typedef enum { CLOUD_UP, CLOUD_LOSES, CLOUD_REFUSES } cloud_state_t;

typedef struct site {
	loop_t loop;
	fake_kv_t *kv;
	fake_kv_client_t client;
	fake_db_t *services[SITE_SERVICES_MAX];
	size_t service_count;
	httpd_t store;
	httpd_t cloud;
	httpd_t closed_door;
	cloud_state_t cloud_state;
	listener_t listeners[SITE_SERVICES_MAX * SITE_MEMBERS];
	list_t links;
	run_timer_t list_timer;
	fake_events_t events;
	loop_watch_t control;
	int link_offset; /* added to the ports that members are listed with */
} site_t;

/* The store comes back from its copy; the operator and the members write again what they wrote. */
void site_restore(site_t *site);

/* --- members --- */

/* Listen on the ports from base on. Returns 0 or a negative errno. */
int members_start(site_t *site, int base, err_t *err);

/* List what has changed in the store, and drop who has been silent for long. */
void members_list(site_t *site);

/* The member's process is gone with its connections. */
void members_crash(site_t *site, fake_member_t *member);

/* --- control --- */

/*
 * Read commands from standard input, write the record of what members do to standard output:
 * fields separated by tabs, each line with its time on the VM's clock.
 */
int control_start(site_t *site);
void control_record_promote(const char *holder, const char *fence, const char *service,
			    const char *id, bool done);

/* Write out what has been recorded. */
void control_flush(void);
