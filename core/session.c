#include "session.h"

#include <errno.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>
#include <talloc.h>

#define TOKEN_MAX_BYTES 4096
#define BASE64		sodium_base64_VARIANT_URLSAFE_NO_PADDING

_Static_assert(SESSION_KEY_BYTES == crypto_auth_KEYBYTES, "the key is libsodium's");

static int read_entry(const json_t *item, session_t *out)
{
	const char *group;
	json_int_t term;
	json_int_t lsn;

	if (json_unpack((json_t *)item, "[s, I, I]", &group, &term, &lsn) < 0)
		return -EBADMSG;
	session_merge(out, group, (position_t){.term = (uint64_t)term, .lsn = (uint64_t)lsn});
	return 0;
}

static int read_entries(const json_t *list, session_t *out)
{
	if (!json_is_array(list) || json_array_size(list) > SESSION_MAX_GROUPS)
		return -EBADMSG;
	for (size_t i = 0; i < json_array_size(list); i++) {
		if (read_entry(json_array_get(list, i), out) < 0)
			return -EBADMSG;
	}
	return 0;
}

int session_decode(const unsigned char *key, const char *token, session_t *out)
{
	unsigned char raw[TOKEN_MAX_BYTES];
	size_t len;
	json_t *list;
	int rc;

	out->len = 0;
	out->overflowed = false;
	if (sodium_base642bin(raw, sizeof(raw), token, strlen(token), NULL, &len, NULL, BASE64) !=
	    0)
		return -EBADMSG;
	if (len <= crypto_auth_BYTES)
		return -EBADMSG;
	if (crypto_auth_verify(raw, raw + crypto_auth_BYTES, len - crypto_auth_BYTES, key) != 0)
		return -EBADMSG;
	list = json_loadb((const char *)raw + crypto_auth_BYTES, len - crypto_auth_BYTES, 0, NULL);
	rc = read_entries(json_object_get(list, "groups"), out);
	out->overflowed = json_is_true(json_object_get(list, "overflowed"));
	json_decref(list);
	return rc;
}

char *session_encode(void *parent, const unsigned char *key, const session_t *session)
{
	unsigned char raw[TOKEN_MAX_BYTES];
	json_t *list = json_array();
	json_t *payload =
		json_pack("{s:o, s:b}", "groups", list, "overflowed", session->overflowed);
	size_t len;
	char *token;

	for (size_t i = 0; i < session->len; i++) {
		const session_entry_t *entry = &session->entries[i];

		json_array_append_new(list, json_pack("[s, I, I]", entry->group,
						      (json_int_t)entry->position.term,
						      (json_int_t)entry->position.lsn));
	}
	len = json_dumpb(payload, (char *)raw + crypto_auth_BYTES, sizeof(raw) - crypto_auth_BYTES,
			 JSON_COMPACT);
	json_decref(payload);
	if (len > sizeof(raw) - crypto_auth_BYTES)
		return NULL;
	crypto_auth(raw, raw + crypto_auth_BYTES, len, key);
	len += crypto_auth_BYTES;
	token = talloc_array(parent, char, sodium_base64_encoded_len(len, BASE64));
	sodium_bin2base64(token, talloc_get_size(token), raw, len, BASE64);
	return token;
}

static const session_entry_t *find_entry(const session_t *session, const char *group)
{
	for (size_t i = 0; i < session->len; i++) {
		if (strcmp(session->entries[i].group, group) == 0)
			return &session->entries[i];
	}
	return NULL;
}

position_t session_min_position(const session_t *session, const char *group)
{
	const session_entry_t *entry = find_entry(session, group);

	return entry != NULL ? entry->position : (position_t){0};
}

bool session_is_partial(const session_t *session, const char *group)
{
	return session->overflowed && find_entry(session, group) == NULL;
}

void session_merge(session_t *session, const char *group, position_t position)
{
	session_entry_t *entry = (session_entry_t *)find_entry(session, group);

	if (entry != NULL) {
		entry->position = position_max(entry->position, position);
		return;
	}
	if (session->len == SESSION_MAX_GROUPS) {
		talloc_free(session->entries[0].group);
		memmove(&session->entries[0], &session->entries[1],
			sizeof(session->entries) - sizeof(session->entries[0]));
		session->len--;
		session->overflowed = true;
	}
	entry = &session->entries[session->len++];
	entry->group = talloc_strdup(session, group);
	entry->position = position;
}
