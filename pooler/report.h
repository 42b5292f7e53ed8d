/*
 * Telling what became of statements: counters and histograms for all, a log
 * line for each that failed, was refused or came late.
 */
#pragma once

#include "state.h"

/* Answered with success. */
void report_success(const caller_t *caller);

/* Answered with an error of the member's or of our own. */
void report_failure(const caller_t *caller, code_t code, reason_t reason, const char *detail);
