/*
 * Session tokens hold the log position that a session has seen of each group. The
 * caller sends its token with each request, so that any proxy can guarantee
 * read-your-writes. Tokens are authenticated with the fleet's key (crypto_auth of
 * libsodium), so that they can't be forged.
 */
#pragma once

#include <stddef.h>

#include "types.h"

#define SESSION_KEY_BYTES 32
/* Keeps a token below the usual 4 KB limit of a cookie. */
#define SESSION_MAX_GROUPS 16

typedef struct session_entry {
	char *group;
	position_t position;
} session_entry_t;

typedef struct session {
	session_entry_t entries[SESSION_MAX_GROUPS];
	size_t len;
	/*
	 * A group was dropped for lack of room. Reads of it without a minimum position
	 * could miss the session's own writes, so reads of any group that is not listed
	 * are then linearizable, as if the token were lost.
	 */
	bool overflowed;
} session_t;

/* Decode token into out (a talloc context). Returns 0 or -EBADMSG. */
int session_decode(const unsigned char *key, const char *token, session_t *out);

/* The token as a talloc child of parent, in characters that are valid in a cookie. */
char *session_encode(void *parent, const unsigned char *key, const session_t *session);

/* The position up to which the session has seen the group's log; zero if nothing. */
position_t session_min_position(const session_t *session, const char *group);

/* True if the session may have seen more of group than session_min_position() returns. */
bool session_is_partial(const session_t *session, const char *group);

/* Add a confirmed position. When full, the first entry is dropped. */
void session_merge(session_t *session, const char *group, position_t position);
