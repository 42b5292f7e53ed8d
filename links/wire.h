/*
 * Messages between proxies as MessagePack: a map with short string keys. Keys
 * that are not known are skipped and absent ones keep their zero, so versions
 * of the program can differ by fields; PROTOCOLS.md has the list.
 */
#pragma once

#include <msgpack.h>

#include "message.h"

#define WIRE_VERSION 1

/* Append the message, sent by from, to out. */
void wire_encode(msgpack_sbuffer *out, const char *from, const message_t *message);

/*
 * Decode into a message that is a child of parent, with the sender's name.
 * Returns NULL for what is no message of this major version.
 */
message_t *wire_decode(void *parent, const void *data, size_t len, char **from);
