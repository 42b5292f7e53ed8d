/*
 * Checks the promises about data: compares each answer with the record of what the members ran and
 * committed, as soon as the record covers the time of the answer.
 */
#pragma once

#include "client.h"

/* Checks the answers that the members' record covers by now, as many as it can before until. */
void check_answers(clients_t *clients, usec_t until);

/* Checks the promises about the whole run, after its last statement has ended. */
void check_whole_run(clients_t *clients);
