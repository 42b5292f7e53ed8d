/*
 * Keeping the directory, which is the operators' configuration and the list of members, current.
 * The holder of the duty watches the store and reads all of it regularly, since a watch can miss
 * changes without a sign. The others are told what changes by whom they ask for news, and turn to
 * the store themselves when what they know grows old.
 */
#pragma once

#include "state.h"

/* What a member adds to pooler_t.members_digest, by exclusive or: 0 if it is not listed. */
uint64_t refresh_member_digest(const member_t *member);

/* Equal for equal lists of members, whatever their order. */
uint64_t refresh_members_digest(const pooler_t *pooler);

/*
 * What a state tells of the directory. ask: the question that it answers; NULL: it is told without
 * one to the proxy of that name.
 */
void refresh_fill_state(pooler_t *pooler, const char *name, const peer_message_t *ask,
			peer_message_t *message, void *parent);

/* Least time between two configurations that one proxy is told. */
usec_t refresh_config_interval(const pooler_t *pooler);

/* What another proxy tells of it. */
void refresh_on_state(pooler_t *pooler, const peer_message_t *message, usec_t now);

void refresh_tick(pooler_t *pooler, usec_t now);

/* Begin to read the directory, unless a process that has just started may still be told it. */
void refresh_start_reading(pooler_t *pooler, usec_t now);
