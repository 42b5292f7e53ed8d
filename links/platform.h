/* The platform's link, as far as other links use it directly. */
#pragma once

#include <jansson.h>

struct platform;

/* Takes the list, newest first, over; NULL if the store did not answer. */
typedef void (*platform_history_cb_t)(void *data, json_t *edits);

/* Read the last edits of the table from the store. */
void platform_read_history(struct platform *platform, platform_history_cb_t done, void *data);
