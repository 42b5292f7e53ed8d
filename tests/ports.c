#include "ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_RANGE_FIRST 20000
#define PORT_RANGE_END	 32000
#define BLOCK_SIZE	 (PORTS_PER_BLOCK + 1)
#define BLOCK_COUNT	 ((PORT_RANGE_END - PORT_RANGE_FIRST) / BLOCK_SIZE)

/* Returns a socket that is bound to the port, or -1 if the port is in use. */
static int bind_port(int port, int reuse_address)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse_address, sizeof(reuse_address));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* True if all ports of the block are free; a program that does not use blocks may listen on one. */
static gboolean is_unused(int first)
{
	for (int i = 0; i < PORTS_PER_BLOCK; i++) {
		int fd = bind_port(first + i, 1);

		if (fd < 0)
			return FALSE;
		close(fd);
	}
	return TRUE;
}

/*
 * Claims the block by listening on its last port, since only one socket can listen on a port. If
 * two test runs used the same block, one would fail with "can't bind", or the fleet of one would
 * answer the callers of the other. Processes that a test starts inherit the socket, so the block
 * stays claimed until the last of them has ended, also if the test itself has aborted.
 */
static int claim_block(int first)
{
	int fd = bind_port(first + PORTS_PER_BLOCK, 0);

	if (fd < 0)
		return -1;
	if (listen(fd, 1) == 0 && is_unused(first))
		return fd;
	close(fd);
	return -1;
}

void ports_reserve(ports_t *ports)
{
	/* Test runs begin at different blocks, so that most of them get the first one they try. */
	int begin = (int)(getpid() % BLOCK_COUNT);

	for (int i = 0; i < BLOCK_COUNT; i++) {
		ports->first = PORT_RANGE_FIRST + (begin + i) % BLOCK_COUNT * BLOCK_SIZE;
		ports->claim_fd = claim_block(ports->first);
		if (ports->claim_fd >= 0)
			return;
	}
	g_error("every block of ports from %d to %d is in use", PORT_RANGE_FIRST, PORT_RANGE_END);
}

void ports_release(ports_t *ports)
{
	close(ports->claim_fd);
	ports->claim_fd = -1;
}
