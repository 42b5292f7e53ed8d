/*
 * Large texts for the store and other proxies, compressed: rosters and lists of members say nearly
 * the same of each entry, and every proxy of the fleet reads them.
 */
#pragma once

#include <stddef.h>

/* Texts below this stay as they are, bytes. */
#define PACK_MIN_BYTES (4 * 1024)

/* The text as it travels, as a child of parent. */
char *pack_compress(void *parent, const char *text, size_t len);

/*
 * The text that was packed, with its length, as a child of parent; text itself if it is not packed.
 * NULL if it can't be unpacked or would be larger than PACK_MAX_BYTES.
 */
#define PACK_MAX_BYTES (64 * 1024 * 1024)
const char *pack_decompress(void *parent, const char *text, size_t len, size_t *out_len);
