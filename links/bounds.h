/* How much memory a MessagePack object may ask for. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * True if data begins with a whole object, each of whose arrays, maps and texts
 * is there as long as it says. The library sets aside memory for what a header
 * says before it looks for the elements: five bytes could ask for 64 GB.
 */
bool bounds_are_valid(const void *data, size_t len);
