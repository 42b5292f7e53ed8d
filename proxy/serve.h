/*
 * The proxy itself, from its command line to its end. It is a module of its own that main() loads:
 * the libraries that it needs take some ten milliseconds to load, in which a process that handles
 * no signal yet would be ended by one.
 */
#pragma once

#include <signal.h>

/* Signals that have come and are not acted on yet. */
typedef struct signals {
	volatile sig_atomic_t stop;   /* TERM or INT */
	volatile sig_atomic_t reload; /* HUP */
	volatile sig_atomic_t dump;   /* USR1 */
} signals_t;

/* File of the module, in the folder of the program. */
#define SERVE_MODULE "libcyclamenspan.so"
#define SERVE_ENTRY  "cyclamenspan_serve"

/* Serve until told to stop. Returns the exit status of the process. */
typedef int (*serve_t)(int argc, char **argv, signals_t *signals);

int cyclamenspan_serve(int argc, char **argv, signals_t *signals)
	__attribute__((visibility("default")));
