#include "ports.h"

#include <stdbool.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

/* The tests' harness begins at 20000. */
#define BLOCKS	   39
#define BLOCKS_MAX BLOCKS

/* An abstract socket's name is a lock that the kernel frees with the process. */
static int lock_block(int block)
{
	struct sockaddr_un name = {.sun_family = AF_UNIX};
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(name.sun_path + 1, sizeof(name.sun_path) - 1, "cyclamenspan-soak-%d", block);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&name, sizeof(name)) < 0) {
		close(fd);
		fd = -1;
	}
	return fd;
}

static bool lock_blocks(int first, int count)
{
	int fds[BLOCKS_MAX];

	for (int i = 0; i < count; i++) {
		fds[i] = lock_block(first + i);
		if (fds[i] >= 0)
			continue;
		while (i-- > 0)
			close(fds[i]);
		return false;
	}
	return true;
}

int ports_reserve(int count)
{
	int blocks = (count + PORTS_BLOCK - 1) / PORTS_BLOCK;

	for (int first = 0; first + blocks <= BLOCKS; first++) {
		if (lock_blocks(first, blocks))
			return PORTS_FIRST + first * PORTS_BLOCK;
	}
	return -1;
}
