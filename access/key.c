#include "key.h"

#include <string.h>

#include <sodium.h>

key_digest_t key_digest(const char *key, size_t len)
{
	key_digest_t digest;

	crypto_generichash(digest.bytes, sizeof(digest.bytes), (const unsigned char *)key, len,
			   NULL, 0);
	return digest;
}

void key_digest_text(const key_digest_t *digest, char text[KEY_DIGEST_TEXT])
{
	sodium_bin2hex(text, KEY_DIGEST_TEXT, digest->bytes, sizeof(digest->bytes));
}

bool key_digest_parse(const char *text, key_digest_t *digest)
{
	size_t len;

	return sodium_hex2bin(digest->bytes, sizeof(digest->bytes), text, strlen(text), NULL, &len,
			      NULL) == 0 &&
	       len == sizeof(digest->bytes);
}

void key_label(const key_digest_t *digest, char text[KEY_LABEL_TEXT])
{
	sodium_bin2hex(text, KEY_LABEL_TEXT, digest->bytes, KEY_LABEL_TEXT / 2);
}
