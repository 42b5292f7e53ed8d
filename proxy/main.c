/* cyclamenspan: catches signals, then loads the proxy itself and hands over to it; see serve.h. */
#include <dlfcn.h>
#include <errno.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>

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

/* The module's file beside the program's, or NULL with errno set. Freed by the caller. */
static char *find_module(void)
{
	char *program = realpath((const char *)getauxval(AT_EXECFN), NULL);
	char *path = NULL;

	if (program != NULL && asprintf(&path, "%s/%s", dirname(program), SERVE_MODULE) < 0)
		path = NULL;
	free(program);
	return path;
}

/* The module's entry, or NULL after a message. */
static serve_t load_module(void)
{
	char *path = find_module();
	void *module;
	serve_t serve = NULL;

	if (path == NULL) {
		fprintf(stderr, "cyclamenspan: own file not found: %s\n", strerror(errno));
		return NULL;
	}
	module = dlopen(path, RTLD_NOW);
	if (module != NULL)
		serve = (serve_t)dlsym(module, SERVE_ENTRY);
	if (serve == NULL)
		fprintf(stderr, "cyclamenspan: module can't be loaded: %s\n", dlerror());
	free(path);
	return serve;
}

int main(int argc, char **argv)
{
	serve_t serve;

	catch_signals();
	serve = load_module();
	return serve != NULL ? serve(argc, argv, &signals) : EXIT_FAILURE;
}
