#include "ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define RANGE_FIRST 20000
#define RANGE_END   32000
#define BLOCK_SIZE  (PORTS_PER_BLOCK + 1)
#define BLOCK_COUNT ((RANGE_END - RANGE_FIRST) / BLOCK_SIZE)

/* A socket that is bound to the port, -1 if another one is in the way. */
static int bind_port(int port, int may_follow_closed)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &may_follow_closed, sizeof(may_follow_closed));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* A program that knows nothing of blocks may listen on a port in the middle of one. */
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
 * Two runs that took the same block would fail each other: "can't bind", or
 * worse, a caller that is answered by the other run's fleet. Only one socket
 * can listen on the block's last port, so the two can't both go on. Processes
 * that are started later inherit the socket: the block stays taken until the
 * last of them is gone, also when the test itself has aborted.
 */
static int claim(int first)
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
	/* Runs begin at different blocks, so that most of them get the first one they try. */
	int begin = (int)(getpid() % BLOCK_COUNT);

	for (int i = 0; i < BLOCK_COUNT; i++) {
		ports->first = RANGE_FIRST + (begin + i) % BLOCK_COUNT * BLOCK_SIZE;
		ports->claim_fd = claim(ports->first);
		if (ports->claim_fd >= 0)
			return;
	}
	g_error("every block of ports from %d to %d is taken", RANGE_FIRST, RANGE_END);
}

void ports_release(ports_t *ports)
{
	close(ports->claim_fd);
	ports->claim_fd = -1;
}
