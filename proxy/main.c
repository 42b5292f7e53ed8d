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

/* They may be blocked, by a starter that sends some before they can be handled. */
static void catch_signals(void)
{
	static const int signos[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};
	struct sigaction action = {.sa_handler = on_signal, .sa_flags = SA_RESTART};
	sigset_t caught;

	sigemptyset(&caught);
	for (size_t i = 0; i < sizeof(signos) / sizeof(signos[0]); i++) {
		sigaction(signos[i], &action, NULL);
		sigaddset(&caught, signos[i]);
	}
	signal(SIGPIPE, SIG_IGN);
	sigprocmask(SIG_UNBLOCK, &caught, NULL);
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
