/* Check of the header fields that determine the length of an HTTP/1 request body. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/*
 * True if the length of the body is ambiguous: the head has different Content-Length values, or
 * Content-Length together with Transfer-Encoding. An intermediary that chooses another length than
 * we do takes a part of the body for the next request (request smuggling), so such a request must
 * be rejected and its connection closed (RFC 9112, 6.1 and 6.3). Bytes behind the head are ignored.
 */
bool framing_is_ambiguous(const char *head, size_t len);
