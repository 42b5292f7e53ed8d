/* cyclamenspan: catches signals, then loads the proxy itself and hands over to it; see serve.h. */
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>

#include "serve.h"

static signals_t signals;

static void on_signal(int signo)
{
	if (signo == SIGUSR1)
		signals.dump = 1;
	else if (signo == SIGHUP)
		signals.reload = 1;
	else
		signals.stop = 1;
}

static void catch_signals(void)
{
	struct sigaction action = {.sa_handler = on_signal, .sa_flags = SA_RESTART};

	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* The module's entry, or NULL after a message. */
static serve_t load_module(void)
{
	void *module = dlopen(SERVE_MODULE, RTLD_NOW);
	serve_t serve = module != NULL ? (serve_t)dlsym(module, SERVE_ENTRY) : NULL;

	if (serve == NULL)
		fprintf(stderr, "cyclamenspan: module can't be loaded: %s\n", dlerror());
	return serve;
}

int main(int argc, char **argv)
{
	serve_t serve;

	catch_signals();
	serve = load_module();
	return serve != NULL ? serve(argc, argv, &signals) : EXIT_FAILURE;
}
