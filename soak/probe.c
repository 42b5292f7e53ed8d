#include "probe.h"

#include <stdio.h>

#include <talloc.h>

#include "finding.h"
#include "stream.h"

/* Time from an answer, or the end of a connection without one, to the next question. */
#define PROBE_INTERVAL (1 * USEC_PER_SEC)
/* A proxy whose event loop runs answers within this time, on a busy VM too. */
#define ANSWER_TIME_MAX (3 * USEC_PER_SEC)
/* Longer than any pause of a proxy. */
#define TCP_USER_TIMEOUT_MS 60000

typedef struct probe {
	stream_t stream;
	fleet_t *fleet;
	unsigned proxy;
	usec_t started_at;  /* of the process that answered last */
	usec_t counts_from; /* the next answer is due ANSWER_TIME_MAX after this time */
	usec_t next_at;	    /* time of the next question */
} probe_t;

struct probes {
	fleet_t *fleet;
	probe_t *probes; /* one for each proxy */
};

static usec_t probe_now(const probe_t *probe)
{
	return clock_now(probe->fleet->loop->clock);
}

static void on_connect(stream_t *stream)
{
	static const char question[] = "GET /ready HTTP/1.1\r\nHost: soak\r\n\r\n";

	stream_send(stream, question, sizeof(question) - 1);
}

static size_t on_data(stream_t *stream, const char *data, size_t len)
{
	probe_t *probe = list_entry(stream, probe_t, stream);

	(void)data;
	probe->counts_from = probe_now(probe);
	probe->next_at = probe->counts_from + PROBE_INTERVAL;
	probe->started_at = probe->fleet->proxies[probe->proxy].started_at;
	stream_close(stream);
	return len;
}

static void on_close(stream_t *stream, const char *reason)
{
	probe_t *probe = list_entry(stream, probe_t, stream);

	(void)reason;
	probe->next_at = probe_now(probe) + PROBE_INTERVAL;
}

static const stream_ops_t stream_ops = {
	.on_connect = on_connect, .on_data = on_data, .on_close = on_close};

static void ask(probe_t *probe, usec_t now)
{
	char address[32];
	err_t err = {0};

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 fleet_probe_port(probe->fleet, probe->proxy));
	probe->next_at = now + PROBE_INTERVAL;
	/* A question that can't be sent is one without an answer. */
	stream_connect(&probe->stream, probe->fleet->loop, address, TCP_USER_TIMEOUT_MS, &err);
}

/* Only a process that has answered before and may run can stand still. */
static bool must_answer(const probe_t *probe, const proxy_t *proxy)
{
	return proxy->state == PROXY_RUNNING && proxy->paused_until == 0 &&
	       probe->started_at == proxy->started_at;
}

static void check_probe(probe_t *probe, usec_t now, usec_t late)
{
	const proxy_t *proxy = &probe->fleet->proxies[probe->proxy];

	probe->counts_from += late;
	if (!must_answer(probe, proxy))
		probe->counts_from = now;
	if (now <= probe->counts_from + ANSWER_TIME_MAX)
		return;
	finding_add(PROMISE_PROCESS, proxy->name, "has not answered a probe for %.1f s",
		    (double)(now - probe->counts_from) / USEC_PER_SEC);
	probe->counts_from = now;
}

void probes_tick(probes_t *probes, usec_t now, usec_t late)
{
	for (unsigned i = 0; i < probes->fleet->options.proxies; i++) {
		probe_t *probe = &probes->probes[i];

		if (probe->stream.sock == NULL && now >= probe->next_at &&
		    probes->fleet->proxies[i].state == PROXY_RUNNING)
			ask(probe, now);
		check_probe(probe, now, late);
	}
}

void probes_stop(probes_t *probes)
{
	for (unsigned i = 0; i < probes->fleet->options.proxies; i++)
		stream_close(&probes->probes[i].stream);
}

probes_t *probes_create(void *parent, fleet_t *fleet)
{
	probes_t *probes = talloc_zero(parent, probes_t);

	probes->fleet = fleet;
	probes->probes = talloc_zero_array(probes, probe_t, fleet->options.proxies);
	for (unsigned i = 0; i < fleet->options.proxies; i++) {
		probe_t *probe = &probes->probes[i];

		probe->stream.ops = &stream_ops;
		probe->fleet = fleet;
		probe->proxy = i;
		/* The first questions are spread over an interval. */
		probe->next_at = probe_now(probe) + PROBE_INTERVAL * i / fleet->options.proxies;
	}
	return probes;
}
