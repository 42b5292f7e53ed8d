/* A workload of writes and reads under random faults, from a seed. */
#pragma once

#include "world.h"

typedef struct faults_result {
	char *violations; /* "" if all that must hold did */
	int requests;
	int answered;
	int done;
	int not_run;
	int unknown;
} faults_result_t;

/* Play the seed; the timeline goes to *timeline unless that is NULL. */
faults_result_t faults_play(uint64_t seed, char **timeline);
