#include "key.h"

#include <string.h>

#include <sodium.h>

#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

_Static_assert(KEY_DIGEST_TEXT_SIZE == sodium_base64_ENCODED_LEN(KEY_DIGEST_SIZE, BASE64_VARIANT),
	       "KEY_DIGEST_TEXT_SIZE must match the base64 encoding");

key_digest_t key_digest(const char *key, size_t len)
{
	key_digest_t digest;

	crypto_generichash(digest.bytes, sizeof(digest.bytes), (const unsigned char *)key, len,
			   NULL, 0);
	return digest;
}

void key_digest_format(const key_digest_t *digest, char text[KEY_DIGEST_TEXT_SIZE])
{
	sodium_bin2base64(text, KEY_DIGEST_TEXT_SIZE, digest->bytes, sizeof(digest->bytes),
			  BASE64_VARIANT);
}

bool key_digest_parse(const char *text, key_digest_t *digest)
{
	size_t len;

	return sodium_base642bin(digest->bytes, sizeof(digest->bytes), text, strlen(text), NULL,
				 &len, NULL, BASE64_VARIANT) == 0 &&
	       len == sizeof(digest->bytes);
}

void key_label(const key_digest_t *digest, char text[KEY_LABEL_TEXT_SIZE])
{
	char full[KEY_DIGEST_TEXT_SIZE];

	key_digest_format(digest, full);
	memcpy(text, full, KEY_LABEL_TEXT_SIZE - 1);
	text[KEY_LABEL_TEXT_SIZE - 1] = '\0';
}
