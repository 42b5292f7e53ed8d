/*
 * Encoding of messages between proxies: a MessagePack map with short string keys. Unknown keys are
 * skipped and missing ones leave their fields zero, so that proxies of different versions can
 * exchange messages; PROTOCOLS.md lists the keys.
 */
#pragma once

#include <msgpack.h>

#include "message.h"

#define WIRE_VERSION 1

/* Encode a message and append it to out; from is the sender's name. */
void wire_encode(msgpack_sbuffer *out, const char *from, const message_t *message);

/*
 * Decode a message as a child of parent, and set *from to the sender's name, which belongs to the
 * message. Returns NULL if data is malformed or has another WIRE_VERSION.
 */
message_t *wire_decode(void *parent, const void *data, size_t len, char **from);
