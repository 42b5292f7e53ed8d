/*
 * Compresses large texts for the store and other proxies. Rosters and lists of members repeat
 * nearly the same fields in each entry, and every proxy of the fleet reads them.
 */
#pragma once

#include <stddef.h>

/* Texts of fewer bytes are not compressed. */
#define PACK_MIN_BYTES (4 * 1024)

/* Returns the text, compressed if it is large, as a child of parent. */
char *pack_compress(void *parent, const char *text, size_t len);

/*
 * Returns the original of a text from pack_compress(), and its length, as a child of parent; text
 * itself if it is not compressed. NULL if text is invalid or its original would be larger than
 * PACK_MAX_BYTES.
 */
#define PACK_MAX_BYTES (64 * 1024 * 1024)
const char *pack_decompress(void *parent, const char *text, size_t len, size_t *out_len);
