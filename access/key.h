/*
 * Keys of customers. A key is a secret: this process and its messages hold only digests of keys,
 * from which no key can be found, and two of which are equal only if the keys are.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Bytes: nobody finds another key with a given one's digest. */
#define KEY_DIGEST_SIZE 16
/* A digest as text, with its end: about as long as a key, since proxies tell each other all. */
#define KEY_DIGEST_TEXT_SIZE 23
/* What tells keys apart in a log, with its end. */
#define KEY_LABEL_TEXT_SIZE 9

typedef struct key_digest {
	unsigned char bytes[KEY_DIGEST_SIZE];
} key_digest_t;

/* Of len bytes; an empty key has a digest too, which no customer's key has. */
key_digest_t key_digest(const char *key, size_t len);

void key_digest_format(const key_digest_t *digest, char text[KEY_DIGEST_TEXT_SIZE]);

/* False if text is not what key_digest_format() gives. */
bool key_digest_parse(const char *text, key_digest_t *digest);

/* The digest's first bytes as text, for logs. */
void key_label(const key_digest_t *digest, char text[KEY_LABEL_TEXT_SIZE]);
