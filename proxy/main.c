/* Installs the signal handlers, then loads the module of the proxy and runs it; see serve.h. */
#include <dlfcn.h>
#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

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

/*
 * Install the handlers, then unblock the signals: a parent process may start this one with them
 * blocked, so that a signal sent before the handlers are installed stays pending.
 */
static void catch_signals(void)
{
	static const int handled_signals[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};
	struct sigaction action = {.sa_handler = on_signal, .sa_flags = SA_RESTART};
	sigset_t handled;

	sigemptyset(&handled);
	for (size_t i = 0; i < sizeof(handled_signals) / sizeof(handled_signals[0]); i++) {
		sigaction(handled_signals[i], &action, NULL);
		sigaddset(&handled, handled_signals[i]);
	}
	signal(SIGPIPE, SIG_IGN);
	sigprocmask(SIG_UNBLOCK, &handled, NULL);
}

/*
 * Tell where the module was searched for and what to check. The program may have been started where
 * its own directory is hidden from it, such as one under a private /tmp.
 */
static void explain_missing_module(const char *reason)
{
	char program[PATH_MAX] = "";
	ssize_t len = readlink("/proc/self/exe", program, sizeof(program) - 1);
	char *slash = len > 0 ? strrchr(program, '/') : NULL;
	char module[PATH_MAX + sizeof("/" SERVE_MODULE)];

	fprintf(stderr, "cyclamenspan: can't load module " SERVE_MODULE ": %s\n", reason);
	if (slash == NULL) {
		fprintf(stderr, "cyclamenspan: the directory of the program is not known, since "
				"/proc/self/exe can't be read; check that /proc is mounted\n");
		return;
	}
	*slash = '\0';
	snprintf(module, sizeof(module), "%s/" SERVE_MODULE, program);
	if (access(module, R_OK) == 0)
		fprintf(stderr,
			"cyclamenspan: %s is there; check that its libraries are installed (ldd) "
			"and that it is of this version\n",
			module);
	else
		fprintf(stderr,
			"cyclamenspan: searched for in %s, the directory of the program: %s; check "
			"that the module is there and that this process sees that directory (a "
			"private /tmp or a mount namespace hides it)\n",
			program, strerror(errno));
}

/* Load the module and return its entry function; on an error, print a message and return NULL. */
static serve_t load_module(void)
{
	void *module = dlopen(SERVE_MODULE, RTLD_NOW);
	serve_t serve = module != NULL ? (serve_t)dlsym(module, SERVE_ENTRY) : NULL;

	if (serve == NULL)
		explain_missing_module(dlerror());
	return serve;
}

int main(int argc, char **argv)
{
	serve_t serve;

	catch_signals();
	serve = load_module();
	return serve != NULL ? serve(argc, argv, &signals) : EXIT_FAILURE;
}
