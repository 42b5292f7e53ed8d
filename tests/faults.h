/* A workload of writes and reads under random faults, determined by a seed. */
#pragma once

#include "world.h"

typedef struct faults_result {
	char *violations; /* "" if all invariants held */
	int requests;
	int answered;
	int done;
	int not_run;
	int unknown;
} faults_result_t;

/* Run the seed. Stores the timeline in *timeline unless timeline is NULL. */
faults_result_t faults_play(uint64_t seed, char **timeline);
