/*
 * One libpq connection on the loop: asynchronous connect, pipelined commands
 * with parameters, results by callback. Users embed it and set the callbacks.
 */
#pragma once

#include <libpq-fe.h>

#include "conf.h"
#include "loop.h"

struct pgio;

typedef struct pgio_ops {
	void (*on_ready)(struct pgio *io);
	/* One result a command; NULL stands for the end of a pipeline's part (its sync). */
	void (*on_result)(struct pgio *io, const PGresult *result);
	/* The connection is gone; refused tells that nobody listened. */
	void (*on_lost)(struct pgio *io, bool refused, const char *why);
} pgio_ops_t;

typedef struct pgio {
	const pgio_ops_t *ops;
	loop_t *loop;
	PGconn *pg;
	loop_watch_t watch;
	bool ready;
	size_t pending;	     /* results and syncs to come */
	bool *closed;	     /* set while callbacks run, to notice that the owner closed us */
	const char *options; /* server settings for the session, libpq's "options"; may be NULL */
	run_timer_t timer;   /* connect time-out, or an error to be told from the loop */
} pgio_t;

/* Start to connect to address, IP:PORT. Loss of any kind comes through on_lost, never here. */
void pgio_connect(pgio_t *io, loop_t *loop, const conf_t *conf, const char *password,
		  const char *address);

/* Queue a command; params are text, sent apart from the statement. */
void pgio_send(pgio_t *io, const char *sql, int count, const char *const *params);

/* Prepare sql under name; its result comes like a command's. */
void pgio_prepare(pgio_t *io, const char *name, const char *sql);

/* Queue a prepared command without parameters: its text does not travel again. */
void pgio_send_prepared(pgio_t *io, const char *name);

/* End this part of the pipeline and send it. */
void pgio_sync(pgio_t *io);

/* Close without a callback. */
void pgio_close(pgio_t *io);

bool pgio_in_transaction(const pgio_t *io);
