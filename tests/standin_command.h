/* Constants of the commands that standin_site reads, shared with the programs that send them. */
#pragma once

/*
 * A member index of STANDIN_PRIMARY_OF + N in a command means the member that is the primary of
 * service N when the command runs.
 */
#define STANDIN_PRIMARY_OF 100
