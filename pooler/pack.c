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

/* A packed text: this, the length of what was packed in decimal, a blank, base64 of zlib's format.
 */
#define HEAD	"zlib:"
#define BASE64	sodium_base64_VARIANT_ORIGINAL
#define LEN_MAX 24

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
	/* The fastest level: one proxy packs what many read, and may have an eighth of a core. */
	if (compress2(packed, &packed_len, (const Bytef *)text, len, Z_BEST_SPEED) != Z_OK) {
		LOG_EVENT(LOG_ERR, "text can't be compressed", LOG_INT("bytes", (int64_t)len));
		talloc_free(packed);
		return talloc_strndup(parent, text, len);
	}
	size = sodium_base64_ENCODED_LEN(packed_len, BASE64);
	out = talloc_size(parent, strlen(HEAD) + LEN_MAX + size);
	head = sprintf(out, HEAD "%zu ", len);
	sodium_bin2base64(out + head, size, packed, packed_len, BASE64);
	talloc_free(packed);
	return out;
}

/* The compressed bytes of a packed text, and how long what was packed is; NULL if there are none.
 */
static unsigned char *open_head(const char *text, size_t len, size_t *packed_len, size_t *plain_len)
{
	const char *blank = memchr(text, ' ', len);
	unsigned char *packed;
	size_t rest;

	if (blank == NULL)
		return NULL;
	*plain_len = strtoull(text + strlen(HEAD), NULL, 10);
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
	if (len < strlen(HEAD) || memcmp(text, HEAD, strlen(HEAD)) != 0)
		return text;
	packed = open_head(text, len, &packed_len, &plain_len);
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
