/* Where the body of an HTTP/1 request ends, as its head tells it. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * True if the head allows two readings: different lengths, or a length beside a
 * transfer encoding. One who reads it otherwise than we do takes the end of the
 * body for the next request (request smuggling); so it is to be refused and its
 * connection closed (RFC 9112, 6.1 and 6.3). head may go on behind its end.
 */
bool framing_is_ambiguous(const char *head, size_t len);
