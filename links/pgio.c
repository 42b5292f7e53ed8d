#include "pgio.h"

#include <string.h>

#include "stream.h"
#include "list.h"

#define CONNECT_REFUSED_TEXT "Connection refused"

static void on_readable(loop_watch_t *watch);
static void on_writable(loop_watch_t *watch);

static void fail_conn(pgio_t *io, const char *why)
{
	char text[256];
	bool refused;

	snprintf(text, sizeof(text), "%s", why != NULL ? why : "connection lost");
	text[strcspn(text, "\n")] = '\0';
	refused = strstr(text, CONNECT_REFUSED_TEXT) != NULL;
	pgio_close(io);
	io->ops->on_lost(io, refused, text);
}

static void on_connect_timeout(run_timer_t *timer, usec_t now)
{
	(void)now;
	fail_conn(list_entry(timer, pgio_t, timer), "connect timed out");
}

static int watch_socket(pgio_t *io)
{
	loop_watch_stop(&io->watch);
	return loop_watch_start(io->loop, &io->watch, PQsocket(io->pg), on_readable);
}

/*
 * Errors inside a call of the owner are reported from a timer, so that on_lost never runs inside
 * that call.
 */
static void on_deferred_failure(run_timer_t *timer, usec_t now)
{
	pgio_t *io = list_entry(timer, pgio_t, timer);

	(void)now;
	fail_conn(io, io->pg != NULL ? PQerrorMessage(io->pg) : "bad address");
}

static void schedule_failure(pgio_t *io)
{
	timers_arm(&io->loop->timers, &io->timer, clock_now(io->loop->clock), on_deferred_failure);
}

static void flush_output(pgio_t *io)
{
	int rc = PQflush(io->pg);

	if (rc > 0)
		loop_watch_writable_once(&io->watch, on_writable);
	else if (rc < 0)
		schedule_failure(io);
}

static void finish_connect(pgio_t *io)
{
	timers_cancel(&io->loop->timers, &io->timer);
	if (PQenterPipelineMode(io->pg) == 0 || PQsetnonblocking(io->pg, 1) != 0) {
		fail_conn(io, PQerrorMessage(io->pg));
		return;
	}
	io->ready = true;
	io->ops->on_ready(io);
}

static void continue_connect(pgio_t *io)
{
	PostgresPollingStatusType status = PQconnectPoll(io->pg);

	switch (status) {
	case PGRES_POLLING_OK:
		if (watch_socket(io) < 0)
			fail_conn(io, "can't watch the socket");
		else
			finish_connect(io);
		break;
	case PGRES_POLLING_FAILED:
		fail_conn(io, PQerrorMessage(io->pg));
		break;
	default:
		/* libpq may have replaced the socket by another one. */
		if (watch_socket(io) < 0)
			fail_conn(io, "can't watch the socket");
		else if (status == PGRES_POLLING_WRITING)
			loop_watch_writable_once(&io->watch, on_writable);
		break;
	}
}

/* Process the results that libpq has received; stop if a callback closes the connection. */
static void process_results(pgio_t *io)
{
	bool freed = false;

	io->closed = &freed;
	while (io->pending > 0 && PQstatus(io->pg) == CONNECTION_OK && !PQisBusy(io->pg)) {
		PGresult *result = PQgetResult(io->pg);

		if (result == NULL)
			continue; /* end of a command's results */
		io->pending--;
		io->ops->on_result(io,
				   PQresultStatus(result) == PGRES_PIPELINE_SYNC ? NULL : result);
		PQclear(result);
		if (freed)
			return;
	}
	io->closed = NULL;
}

static void on_readable(loop_watch_t *watch)
{
	pgio_t *io = list_entry(watch, pgio_t, watch);

	if (!io->ready) {
		continue_connect(io);
		return;
	}
	if (PQconsumeInput(io->pg) == 0) {
		fail_conn(io, PQerrorMessage(io->pg));
		return;
	}
	process_results(io);
	if (io->pg != NULL && PQstatus(io->pg) == CONNECTION_BAD)
		fail_conn(io, PQerrorMessage(io->pg));
}

static void on_writable(loop_watch_t *watch)
{
	pgio_t *io = list_entry(watch, pgio_t, watch);

	if (!io->ready)
		continue_connect(io);
	else
		flush_output(io);
}

static void start_connect(pgio_t *io, const conf_t *conf, const char *password, const char *host,
			  const char *port)
{
	const char *const keys[] = {"hostaddr", "port",	      "user",	 "password", "dbname",
				    "sslmode",	"gssencmode", "options", NULL};
	const char *const values[] = {host,
				      port,
				      conf->backend_user,
				      password,
				      conf->backend_database,
				      conf->backend_sslmode,
				      "disable",
				      io->options,
				      NULL};

	io->pg = PQconnectStartParams(keys, values, 0);
}

void pgio_connect(pgio_t *io, loop_t *loop, const conf_t *conf, const char *password,
		  const char *address)
{
	usec_t now = clock_now(loop->clock);
	char host[STREAM_HOST_SIZE];
	char port[8];
	uint16_t number;

	io->loop = loop;
	io->ready = false;
	io->pending = 0;
	io->closed = NULL;
	if (stream_split_address(address, host, &number) == 0) {
		snprintf(port, sizeof(port), "%u", number);
		start_connect(io, conf, password, host, port);
	}
	if (io->pg == NULL || PQstatus(io->pg) == CONNECTION_BAD || watch_socket(io) < 0) {
		schedule_failure(io);
		return;
	}
	timers_arm(&loop->timers, &io->timer,
		   now + (usec_t)conf->backend_connect_timeout_ms * USEC_PER_MSEC,
		   on_connect_timeout);
	loop_watch_writable_once(&io->watch, on_writable);
}

void pgio_send(pgio_t *io, const char *sql, int count, const char *const *params)
{
	if (PQsendQueryParams(io->pg, sql, count, NULL, params, NULL, NULL, 0) == 1)
		io->pending++;
}

void pgio_prepare(pgio_t *io, const char *name, const char *sql)
{
	if (PQsendPrepare(io->pg, name, sql, 0, NULL) == 1)
		io->pending++;
}

void pgio_send_prepared(pgio_t *io, const char *name)
{
	if (PQsendQueryPrepared(io->pg, name, 0, NULL, NULL, NULL, 0) == 1)
		io->pending++;
}

void pgio_sync(pgio_t *io)
{
	if (PQpipelineSync(io->pg) == 1)
		io->pending++;
	flush_output(io);
}

void pgio_close(pgio_t *io)
{
	if (io->closed != NULL)
		*io->closed = true;
	io->closed = NULL;
	timers_cancel(&io->loop->timers, &io->timer);
	loop_watch_stop(&io->watch);
	if (io->pg != NULL)
		PQfinish(io->pg);
	io->pg = NULL;
	io->ready = false;
	io->pending = 0;
}

bool pgio_in_transaction(const pgio_t *io)
{
	return PQtransactionStatus(io->pg) != PQTRANS_IDLE;
}
