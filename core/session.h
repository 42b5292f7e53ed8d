/*
 * Session tokens: what a session has seen of each group, carried by the caller
 * so that any proxy can give read-your-writes. Authenticated with the fleet's
 * key (crypto_auth of libsodium), so that a token can't be made up.
 */
#pragma once

#include <stddef.h>

#include "types.h"

#define SESSION_KEY_BYTES 32
/* Keeps a token well under the usual limit of a cookie. */
#define SESSION_MAX_GROUPS 16

typedef struct session_entry {
	char *group;
	position_t position;
} session_entry_t;

typedef struct session {
	session_entry_t entries[SESSION_MAX_GROUPS];
	size_t len;
	/*
	 * Some group was dropped for want of room. Reading that group at any
	 * position would break read-your-writes unnoticed, so a group that is not
	 * listed is then read as strictly as if the token were lost.
	 */
	bool overflowed;
} session_t;

/* Decode token into out (a talloc context). Returns 0 or -EBADMSG. */
int session_decode(const unsigned char *key, const char *token, session_t *out);

/* The token as a child of parent, printable and safe in a cookie. */
char *session_encode(void *parent, const unsigned char *key, const session_t *session);

/* What the session has seen of group; zero if nothing. */
position_t session_min_position(const session_t *session, const char *group);

/* True if the session may have seen more of group than session_min_position() tells. */
bool session_is_partial(const session_t *session, const char *group);

/* Note a confirmed position. When full, the first entry makes room. */
void session_merge(session_t *session, const char *group, position_t position);
