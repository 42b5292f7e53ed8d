#include "message.h"

#include <talloc.h>

static const char *const kind_names[MESSAGE_COUNT] = {
	[MESSAGE_HEARTBEAT] = "heartbeat",   [MESSAGE_EXECUTE] = "execute",
	[MESSAGE_ACCEPTED] = "accepted",     [MESSAGE_ANSWER] = "answer",
	[MESSAGE_TABLE_PULL] = "table_pull", [MESSAGE_TABLE_PUSH] = "table_push",
};

const char *message_kind_name(message_kind_t kind)
{
	return kind_names[kind];
}

message_t *message_copy(void *parent, const message_t *message)
{
	message_t *copy = talloc(parent, message_t);

	*copy = *message;
	copy->zone = talloc_strdup(copy, message->zone);
	copy->address = talloc_strdup(copy, message->address);
	if (message->query != NULL)
		copy->query = query_copy(copy, message->query);
	if (message->answer != NULL)
		copy->answer = answer_copy(copy, message->answer);
	if (message->entry_count == 0)
		return copy;
	copy->entries = talloc_array(copy, table_entry_t, message->entry_count);
	for (size_t i = 0; i < message->entry_count; i++) {
		const table_entry_t *from = &message->entries[i];

		copy->entries[i] = (table_entry_t){
			.key = talloc_strdup(copy->entries, from->key),
			.value = talloc_strdup(copy->entries, from->value),
			.version = from->version,
		};
	}
	return copy;
}
