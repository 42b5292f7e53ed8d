/*
 * Large texts for the store and other proxies, compressed: rosters and lists of members say nearly
 * the same of each entry, and every proxy of the fleet reads them.
 */
#pragma once

#include <stddef.h>

/* Texts below this stay as they are, bytes. */
#define PACK_LEAST (4 * 1024)

/* The text as it travels, as a child of parent. */
char *pack_text(void *parent, const char *text, size_t len);

/*
 * The text that was packed, with its length, as a child of parent; text itself if it is not packed.
 * NULL if it can't be unpacked or would be larger than PACK_MOST.
 */
#define PACK_MOST (64 * 1024 * 1024)
const char *pack_open(void *parent, const char *text, size_t len, size_t *out_len);
