/*
 * Reports the outcome of statements: counters and histograms for all of them, and a log line for
 * each that failed, was refused or missed its objective.
 */
#pragma once

#include "state.h"

/* Reports a statement that was answered with success. */
void report_success(const caller_t *caller);

/* Reports a statement that was answered with an error, of a member or of this proxy. */
void report_failure(const caller_t *caller, code_t code, reason_t reason, const char *detail);
