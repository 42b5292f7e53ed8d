#include "pack.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <talloc.h>
#include <zlib.h>

#define LOG_MODULE "pack"
#include "log.h"

/*
 * Format of a compressed text: this prefix, the original's length in decimal, a space, and zlib's
 * output in base64.
 */
#define PREFIX	   "zlib:"
#define BASE64	   sodium_base64_VARIANT_ORIGINAL
#define LENGTH_MAX 24

char *pack_compress(void *parent, const char *text, size_t len)
{
	uLongf packed_len = compressBound(len);
	unsigned char *packed;
	size_t size;
	char *out;
	int head;

	if (len < PACK_MIN_BYTES)
		return talloc_strndup(parent, text, len);
	packed = talloc_size(NULL, packed_len);
	/*
	 * The fastest level is used, since the proxy that compresses a text may have an eighth of a
	 * core.
	 */
	if (compress2(packed, &packed_len, (const Bytef *)text, len, Z_BEST_SPEED) != Z_OK) {
		LOG_EVENT(LOG_ERR, "compression of a text failed", LOG_INT("bytes", (int64_t)len));
		talloc_free(packed);
		return talloc_strndup(parent, text, len);
	}
	size = sodium_base64_ENCODED_LEN(packed_len, BASE64);
	out = talloc_size(parent, strlen(PREFIX) + LENGTH_MAX + size);
	head = sprintf(out, PREFIX "%zu ", len);
	sodium_bin2base64(out + head, size, packed, packed_len, BASE64);
	talloc_free(packed);
	return out;
}

/*
 * Decodes the header and base64 of a compressed text; returns the compressed bytes and the length
 * of the original, or NULL if text is invalid.
 */
static unsigned char *decode_base64(const char *text, size_t len, size_t *packed_len,
				    size_t *plain_len)
{
	const char *blank = memchr(text, ' ', len);
	unsigned char *packed;
	size_t rest;

	if (blank == NULL)
		return NULL;
	*plain_len = strtoull(text + strlen(PREFIX), NULL, 10);
	rest = len - (size_t)(blank + 1 - text);
	packed = talloc_size(NULL, rest + 1);
	if (*plain_len <= PACK_MAX_BYTES &&
	    sodium_base642bin(packed, rest, blank + 1, rest, NULL, packed_len, NULL, BASE64) == 0)
		return packed;
	talloc_free(packed);
	return NULL;
}

const char *pack_decompress(void *parent, const char *text, size_t len, size_t *out_len)
{
	size_t packed_len;
	size_t plain_len;
	uLongf opened_len;
	unsigned char *packed;
	char *plain;
	bool ok;

	*out_len = len;
	if (len < strlen(PREFIX) || memcmp(text, PREFIX, strlen(PREFIX)) != 0)
		return text;
	packed = decode_base64(text, len, &packed_len, &plain_len);
	if (packed == NULL)
		return NULL;
	opened_len = plain_len;
	plain = talloc_size(parent, plain_len + 1);
	ok = uncompress((Bytef *)plain, &opened_len, packed, packed_len) == Z_OK &&
	     opened_len == plain_len;
	talloc_free(packed);
	if (!ok) {
		talloc_free(plain);
		return NULL;
	}
	plain[plain_len] = '\0';
	*out_len = plain_len;
	return plain;
}
