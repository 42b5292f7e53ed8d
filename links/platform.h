/* Functions of the link to the platform that other links call directly. */
#pragma once

#include <jansson.h>

struct platform;

/* Receives the list of edits, newest first, and owns it; NULL if the store call failed. */
typedef void (*platform_history_cb_t)(void *data, json_t *edits);

/* Read the latest edits of the table from the store. */
void platform_read_history(struct platform *platform, platform_history_cb_t done, void *data);
