/* Functions that the parts of the poolers' test world share, among them those of env_ops_t. */
#pragma once

#include "pool_world.h"

/* Delay of a message in one direction, over any link of this world. */
#define LINK_DELAY (1 * USEC_PER_MSEC)
/* Time after which members close connections whose other end is unreachable. */
#define DEAD_CONN_TIMEOUT (3 * USEC_PER_SEC)

static inline usec_t world_now(const pool_world_t *world)
{
	return clock_now(&world->clock.base);
}

/* Returns the configuration of that version, which the caller frees. */
routes_t *world_create_routes(const pool_world_t *world, int64_t version);

/* --- the directory, where proxies read it from the store --- */

void directory_start_followers(world_node_t *node);
void directory_stop_followers(world_node_t *node);
void directory_refresh(world_node_t *node, follow_t *follow);

/* --- to members: env_ops_t --- */

void *links_connect(env_t *env, const char *address, const char *service, const char *customer,
		    const char *member, struct conn *conn);
void links_send(env_t *env, void *data, const member_request_t *requests, size_t count);
void links_close(env_t *env, void *data);

/* Closes all connections of a proxy whose process has ended. */
void links_close_all(world_node_t *node);

/*
 * What is sent over the links of the node from now on, in either direction, arrives no earlier than
 * after this time.
 */
void links_delay_delivery(world_node_t *node, usec_t by);

/* --- to callers: env_ops_t --- */

void callers_reply(env_t *env, void *data, const caller_reply_t *reply);
void callers_abort(env_t *env, void *data);
close_result_t callers_close(env_t *env, void *data);

/* --- to other proxies: env_ops_t --- */

bool peers_send(env_t *env, const char *name, const char *address, const peer_message_t *message);
