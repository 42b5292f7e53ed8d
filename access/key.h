/*
 * Keys of customers. A key is a secret: the process and its messages hold only digests of keys. A
 * key can't be derived from its digest, and two digests are equal only if their keys are.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Bytes; long enough that no second key with a given digest can be found. */
#define KEY_DIGEST_SIZE 16
/*
 * Size of a digest as text, with the terminating NUL. The text is about as long as a key, which
 * keeps messages short: proxies send each other the digests of all keys.
 */
#define KEY_DIGEST_TEXT_SIZE 23
/* Size of a key's label, which identifies the key in logs, with the terminating NUL. */
#define KEY_LABEL_TEXT_SIZE 9

typedef struct key_digest {
	unsigned char bytes[KEY_DIGEST_SIZE];
} key_digest_t;

/* The digest of the len bytes of key. The digest of an empty key belongs to no customer. */
key_digest_t key_digest(const char *key, size_t len);

void key_digest_format(const key_digest_t *digest, char text[KEY_DIGEST_TEXT_SIZE]);

/* Returns false if text is not the output of key_digest_format(). */
bool key_digest_parse(const char *text, key_digest_t *digest);

/* Writes the label, the first characters of the digest's text. */
void key_label(const key_digest_t *digest, char text[KEY_LABEL_TEXT_SIZE]);
