#include "wire.h"

#include <limits.h>
#include <string.h>

#include <talloc.h>

#include "bounds.h"

typedef enum { WIRE_TEXT, WIRE_NUMBER, WIRE_INT, WIRE_FLAG } wire_type_t;

typedef struct wire_field {
	const char *key;
	wire_type_t type;
	size_t offset;
} wire_field_t;

#define FIELD(key, type, structure, member)                                                        \
	{                                                                                          \
		(key), (type), offsetof(structure, member)                                         \
	}

static const wire_field_t message_fields[] = {
	FIELD("kind", WIRE_INT, message_t, kind),
	FIELD("sent", WIRE_NUMBER, message_t, sent_at),
	FIELD("echo", WIRE_NUMBER, message_t, echo),
	FIELD("inc", WIRE_NUMBER, message_t, incarnation),
	FIELD("zone", WIRE_TEXT, message_t, zone),
	FIELD("addr", WIRE_TEXT, message_t, address),
	FIELD("leaving", WIRE_FLAG, message_t, leaving),
	FIELD("table", WIRE_NUMBER, message_t, table_version),
	FIELD("age", WIRE_NUMBER, message_t, store_age),
	FIELD("req", WIRE_NUMBER, message_t, request),
	FIELD("since", WIRE_NUMBER, message_t, since),
};

static const wire_field_t query_fields[] = {
	FIELD("verb", WIRE_INT, query_t, verb),
	FIELD("service", WIRE_TEXT, query_t, service),
	FIELD("class", WIRE_TEXT, query_t, class_name),
	FIELD("group", WIRE_TEXT, query_t, group),
	FIELD("text", WIRE_TEXT, query_t, text),
	FIELD("params", WIRE_TEXT, query_t, params),
	FIELD("id", WIRE_TEXT, query_t, request_id),
	FIELD("tx", WIRE_TEXT, query_t, tx),
	FIELD("rep", WIRE_FLAG, query_t, repeatable),
	FIELD("resend", WIRE_FLAG, query_t, resend),
	FIELD("cont", WIRE_FLAG, query_t, token_lost),
	FIELD("term", WIRE_NUMBER, query_t, min_position.term),
	FIELD("lsn", WIRE_NUMBER, query_t, min_position.lsn),
	FIELD("left", WIRE_NUMBER, query_t, time_left),
};

static const wire_field_t answer_fields[] = {
	FIELD("outcome", WIRE_INT, answer_t, outcome),
	FIELD("refusal", WIRE_INT, answer_t, refusal),
	FIELD("retry", WIRE_NUMBER, answer_t, retry_after),
	FIELD("age", WIRE_NUMBER, answer_t, age),
	FIELD("repeated", WIRE_FLAG, answer_t, repeated),
	FIELD("term", WIRE_NUMBER, answer_t, position.term),
	FIELD("lsn", WIRE_NUMBER, answer_t, position.lsn),
	FIELD("detail", WIRE_TEXT, answer_t, detail),
	FIELD("rows", WIRE_TEXT, answer_t, rows),
	FIELD("member", WIRE_TEXT, answer_t, member),
	FIELD("group", WIRE_TEXT, answer_t, group),
	FIELD("tx", WIRE_TEXT, answer_t, tx),
};

static const wire_field_t entry_fields[] = {
	FIELD("key", WIRE_TEXT, table_entry_t, key),
	FIELD("value", WIRE_TEXT, table_entry_t, value),
	FIELD("version", WIRE_NUMBER, table_entry_t, version),
};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* --- encoding --- */

static void pack_string(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

static bool is_field_zero(const wire_field_t *field, const void *base)
{
	const char *at = (const char *)base + field->offset;

	switch (field->type) {
	case WIRE_TEXT:
		return *(char *const *)at == NULL;
	case WIRE_NUMBER:
		return *(const uint64_t *)at == 0;
	case WIRE_INT:
		return *(const int *)at == 0;
	case WIRE_FLAG:
		return !*(const bool *)at;
	}
	return true;
}

static void pack_field(msgpack_packer *pk, const wire_field_t *field, const void *base)
{
	const char *at = (const char *)base + field->offset;

	pack_string(pk, field->key);
	switch (field->type) {
	case WIRE_TEXT:
		pack_string(pk, *(char *const *)at);
		break;
	case WIRE_NUMBER:
		msgpack_pack_uint64(pk, *(const uint64_t *)at);
		break;
	case WIRE_INT:
		msgpack_pack_int(pk, *(const int *)at);
		break;
	case WIRE_FLAG:
		msgpack_pack_true(pk);
		break;
	}
}

static size_t count_nonzero_fields(const wire_field_t *fields, size_t count, const void *base)
{
	size_t n = 0;

	for (size_t i = 0; i < count; i++)
		n += !is_field_zero(&fields[i], base);
	return n;
}

static void pack_nonzero_fields(msgpack_packer *pk, const wire_field_t *fields, size_t count,
				const void *base)
{
	for (size_t i = 0; i < count; i++) {
		if (!is_field_zero(&fields[i], base))
			pack_field(pk, &fields[i], base);
	}
}

static void pack_map(msgpack_packer *pk, const wire_field_t *fields, size_t count, const void *base)
{
	msgpack_pack_map(pk, count_nonzero_fields(fields, count, base));
	pack_nonzero_fields(pk, fields, count, base);
}

static void pack_entries(msgpack_packer *pk, const message_t *message)
{
	pack_string(pk, "entries");
	msgpack_pack_array(pk, message->entry_count);
	for (size_t i = 0; i < message->entry_count; i++)
		pack_map(pk, entry_fields, COUNT_OF(entry_fields), &message->entries[i]);
}

void wire_encode(msgpack_sbuffer *out, const char *from, const message_t *message)
{
	size_t count = 2 + count_nonzero_fields(message_fields, COUNT_OF(message_fields), message);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	count += message->query != NULL;
	count += message->answer != NULL;
	count += message->entry_count != 0;
	msgpack_pack_map(&pk, count);
	pack_string(&pk, "v");
	msgpack_pack_int(&pk, WIRE_VERSION);
	pack_string(&pk, "from");
	pack_string(&pk, from);
	pack_nonzero_fields(&pk, message_fields, COUNT_OF(message_fields), message);
	if (message->query != NULL) {
		pack_string(&pk, "query");
		pack_map(&pk, query_fields, COUNT_OF(query_fields), message->query);
	}
	if (message->answer != NULL) {
		pack_string(&pk, "answer");
		pack_map(&pk, answer_fields, COUNT_OF(answer_fields), message->answer);
	}
	if (message->entry_count != 0)
		pack_entries(&pk, message);
}

/* --- decoding --- */

static bool key_equals(const msgpack_object *key, const char *text)
{
	return key->type == MSGPACK_OBJECT_STR && key->via.str.size == strlen(text) &&
	       memcmp(key->via.str.ptr, text, key->via.str.size) == 0;
}

static char *unpack_string(void *parent, const msgpack_object *value)
{
	if (value->type != MSGPACK_OBJECT_STR)
		return NULL;
	return talloc_strndup(parent, value->via.str.ptr, value->via.str.size);
}

/* A plain cast would drop the upper bits and could turn an invalid value into a valid one. */
static int clamp_to_int(uint64_t number)
{
	return number <= INT_MAX ? (int)number : INT_MAX;
}

static void unpack_field(void *parent, const wire_field_t *field, const msgpack_object *value,
			 void *base)
{
	char *at = (char *)base + field->offset;
	bool is_number = value->type == MSGPACK_OBJECT_POSITIVE_INTEGER;

	switch (field->type) {
	case WIRE_TEXT:
		*(char **)at = unpack_string(parent, value);
		break;
	case WIRE_NUMBER:
		*(uint64_t *)at = is_number ? value->via.u64 : 0;
		break;
	case WIRE_INT:
		*(int *)at = is_number ? clamp_to_int(value->via.u64) : 0;
		break;
	case WIRE_FLAG:
		*(bool *)at = value->type == MSGPACK_OBJECT_BOOLEAN && value->via.boolean;
		break;
	}
}

static void unpack_map(void *parent, const wire_field_t *fields, size_t count,
		       const msgpack_object *map, void *base)
{
	if (map->type != MSGPACK_OBJECT_MAP)
		return;
	for (uint32_t i = 0; i < map->via.map.size; i++) {
		const msgpack_object_kv *kv = &map->via.map.ptr[i];

		for (size_t f = 0; f < count; f++) {
			if (key_equals(&kv->key, fields[f].key))
				unpack_field(parent, &fields[f], &kv->val, base);
		}
	}
}

static void unpack_entries(message_t *message, const msgpack_object *list)
{
	if (list->type != MSGPACK_OBJECT_ARRAY || list->via.array.size == 0)
		return;
	message->entry_count = list->via.array.size;
	message->entries = talloc_zero_array(message, table_entry_t, message->entry_count);
	for (size_t i = 0; i < message->entry_count; i++)
		unpack_map(message, entry_fields, COUNT_OF(entry_fields), &list->via.array.ptr[i],
			   &message->entries[i]);
}

static void unpack_nested(message_t *message, const msgpack_object_kv *kv)
{
	if (key_equals(&kv->key, "query")) {
		message->query = talloc_zero(message, query_t);
		unpack_map(message, query_fields, COUNT_OF(query_fields), &kv->val, message->query);
	} else if (key_equals(&kv->key, "answer")) {
		message->answer = talloc_zero(message, answer_t);
		unpack_map(message, answer_fields, COUNT_OF(answer_fields), &kv->val,
			   message->answer);
	} else if (key_equals(&kv->key, "entries")) {
		unpack_entries(message, &kv->val);
	}
}

/*
 * Check what core relies on: enum values in range, and the parts that a message of this kind must
 * have.
 */
static bool is_valid_message(const message_t *message)
{
	const query_t *query = message->query;
	const answer_t *answer = message->answer;

	if (message->kind >= MESSAGE_COUNT || message->incarnation == 0)
		return false;
	for (size_t i = 0; i < message->entry_count; i++) {
		if (message->entries[i].key == NULL)
			return false;
	}
	if (message->kind == MESSAGE_ANSWER)
		return answer != NULL && answer->outcome <= OUTCOME_UNKNOWN &&
		       answer->refusal < REFUSAL_COUNT;
	if (message->kind != MESSAGE_EXECUTE)
		return true;
	if (query == NULL || query->verb >= VERB_COUNT)
		return false;
	if ((query->verb == VERB_STATEMENT || query->verb == VERB_TX_STATEMENT) &&
	    query->text == NULL)
		return false;
	return query->tx != NULL || (query->service != NULL && query->class_name != NULL);
}

static message_t *unpack_message(void *parent, const msgpack_object *map, char **from)
{
	message_t *message = talloc_zero(parent, message_t);
	int version = 0;

	*from = NULL;
	unpack_map(message, message_fields, COUNT_OF(message_fields), map, message);
	for (uint32_t i = 0; i < map->via.map.size; i++) {
		const msgpack_object_kv *kv = &map->via.map.ptr[i];

		if (key_equals(&kv->key, "v") && kv->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
			version = clamp_to_int(kv->val.via.u64);
		else if (key_equals(&kv->key, "from"))
			*from = unpack_string(message, &kv->val);
		else
			unpack_nested(message, kv);
	}
	if (version == WIRE_VERSION && *from != NULL && is_valid_message(message))
		return message;
	talloc_free(message);
	return NULL;
}

message_t *wire_decode(void *parent, const void *data, size_t len, char **from)
{
	message_t *message = NULL;
	msgpack_unpacked unpacked;

	msgpack_unpacked_init(&unpacked);
	if (bounds_are_valid(data, len) &&
	    msgpack_unpack_next(&unpacked, data, len, NULL) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_MAP)
		message = unpack_message(parent, &unpacked.data, from);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}
