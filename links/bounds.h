/* Check of the lengths that a MessagePack object declares, done before the object is unpacked. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * True if data begins with a complete object, and no array, map or string in the object declares
 * more elements or bytes than data contains. The msgpack library allocates memory for the declared
 * length before it reads the elements, so a header of five bytes could request 64 GB.
 */
bool bounds_are_valid(const void *data, size_t len);
