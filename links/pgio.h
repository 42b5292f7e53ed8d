/*
 * A libpq connection on the event loop: asynchronous connect, pipelined commands with parameters,
 * and results by callback. The owner embeds pgio_t in its own structure and sets ops.
 */
#pragma once

#include <libpq-fe.h>

#include "conf.h"
#include "loop.h"

struct pgio;

typedef struct pgio_ops {
	void (*on_ready)(struct pgio *io);
	/* Called once for each command, and with NULL for each sync point of the pipeline. */
	void (*on_result)(struct pgio *io, const PGresult *result);
	/* The connection is closed; refused: the server refused it, since no process listens. */
	void (*on_lost)(struct pgio *io, bool refused, const char *why);
} pgio_ops_t;

typedef struct pgio {
	const pgio_ops_t *ops;
	loop_t *loop;
	PGconn *pg;
	loop_watch_t watch;
	bool ready;
	size_t pending; /* results and sync points not received yet */
	/* NULL, or a flag of the running callback loop, set when the owner closes the connection */
	bool *closed;
	const char *options; /* libpq's "options": server settings for the session; may be NULL */
	run_timer_t timer;   /* connect time-out, or an error that is reported from the loop */
} pgio_t;

/*
 * Start to connect to address, IP:PORT. Every failure is reported through on_lost, and never before
 * this function has returned.
 */
void pgio_connect(pgio_t *io, loop_t *loop, const conf_t *conf, const char *password,
		  const char *address);

/* Queue a command with count parameters in text format. */
void pgio_send(pgio_t *io, const char *sql, int count, const char *const *params);

/* Queue the preparation of sql as a statement called name; on_result is called for it as well. */
void pgio_prepare(pgio_t *io, const char *name, const char *sql);

/* Queue the execution of a prepared statement that has no parameters. */
void pgio_send_prepared(pgio_t *io, const char *name);

/* Queue a sync point, which ends a part of the pipeline, and send what is queued. */
void pgio_sync(pgio_t *io);

/* Close the connection without invoking a callback. */
void pgio_close(pgio_t *io);

bool pgio_in_transaction(const pgio_t *io);
