/*
 * The proxy from its command line to its exit. It is a shared module that main() loads after it has
 * installed the signal handlers: loading the libraries takes some 10 ms, and a signal in that time
 * would otherwise terminate the process.
 */
#pragma once

#include <signal.h>

/* Signals that were received and are not handled yet. */
typedef struct signals {
	volatile sig_atomic_t stop;   /* TERM or INT */
	volatile sig_atomic_t reload; /* HUP */
	volatile sig_atomic_t dump;   /* USR1 */
} signals_t;

/* File of the module, in the directory of the program. */
#define SERVE_MODULE "libcyclamenspan.so"
#define SERVE_ENTRY  "cyclamenspan_serve"

/* Run the proxy until it is stopped. Returns the exit status of the process. */
typedef int (*serve_t)(int argc, char **argv, signals_t *signals);

int cyclamenspan_serve(int argc, char **argv, signals_t *signals)
	__attribute__((visibility("default")));
