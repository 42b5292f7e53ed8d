/*
 * The promises about data: each answer is compared with what the members ran
 * and committed, as soon as their record has come that far.
 */
#pragma once

#include "client.h"

/* Check the answers that the members' record covers by now. */
void check_answers(clients_t *clients);

/* When nothing runs any more: what must hold of the whole run. */
void check_whole_run(clients_t *clients);
