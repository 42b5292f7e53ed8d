/* Clients that send question after question without waiting for the answers. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TURN_MS 50.0

typedef struct peer {
	int proxy;
	conn_t *conn;
	bool started;
	unsigned serial;
} peer_t;

static double flood_until;
static double bytes_per_turn;

static void connect_peer(void *arg);

static void on_input(conn_t *conn)
{
	peer_t *peer = conn->owner;

	/* The answers are read, so the other end need not keep them. */
	conn_consume(conn, conn->in_len);
	peer->started = true;
}

static void on_closed(conn_t *conn)
{
	peer_t *peer = conn->owner;

	peer->conn = NULL;
	peer->started = false;
	after_ms(500, connect_peer, peer);
}

static const conn_ops_t ops = {.on_input = on_input, .on_closed = on_closed};

static void connect_peer(void *arg)
{
	peer_t *peer = arg;

	/* Not freed: its turn may still be due. */
	if (now_ms() >= flood_until)
		return;
	peer->conn = conn_connect(proxies[peer->proxy].port, &ops, peer);
	if (peer->conn == NULL) {
		after_ms(500, connect_peer, peer);
		return;
	}
	conn_printf(peer->conn, "START lookup rude\r\n");
}

static void on_turn(void *arg)
{
	peer_t *peer = arg;
	char text[256];
	size_t sent = 0;

	if (now_ms() >= flood_until) {
		if (peer->conn != NULL)
			conn_close(peer->conn);
		peer->conn = NULL;
		return;
	}
	/* What the other end does not take is not sent: its windows are small. */
	while (peer->conn != NULL && peer->started && peer->conn->out_len == 0 &&
	       sent < (size_t)bytes_per_turn) {
		char lines[8192];
		size_t len = 0;

		while (len + sizeof(text) < sizeof(lines)) {
			peer->serial++;
			len += (size_t)snprintf(lines + len, sizeof(lines) - len,
						"QUERY f%010u READ k%0200u\r\n", peer->serial,
						peer->serial % 500);
		}
		conn_send(peer->conn, lines, len);
		sent += len;
	}
	after_ms(TURN_MS, on_turn, peer);
}

void rude_flood(int peers_per_proxy, double kbytes_per_s, double ms)
{
	flood_until = now_ms() + ms;
	bytes_per_turn = kbytes_per_s * 1e3 * TURN_MS / 1e3;
	for (int i = 0; i < peers_per_proxy * proxy_count; i++) {
		peer_t *peer = calloc(1, sizeof(*peer));

		peer->proxy = i % proxy_count;
		connect_peer(peer);
		after_ms(TURN_MS * random_unit(), on_turn, peer);
	}
}
