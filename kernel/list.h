/*
 * Intrusive doubly linked list. A list_t is either the head of a list or a node, which is embedded
 * in the structure that is an element of the list.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct list {
	struct list *prev;
	struct list *next;
} list_t;

/* The structure of that type whose field member is the node at ptr. */
#define list_entry(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each(it, head) for (list_t *it = (head)->next; it != (head); it = it->next)

/* The body may remove the current node from the list, but no other one. */
#define list_for_each_safe(it, head)                                                               \
	for (list_t *it = (head)->next, *it##_next = it->next; it != (head);                       \
	     it = it##_next, it##_next = it->next)

static inline void list_init(list_t *head)
{
	head->prev = head;
	head->next = head;
}

static inline bool list_empty(const list_t *head)
{
	return head->next == head;
}

/* Inserts node before pos. If pos is the head of the list, this appends node. */
static inline void list_add_before(list_t *pos, list_t *node)
{
	node->prev = pos->prev;
	node->next = pos;
	pos->prev->next = node;
	pos->prev = node;
}

static inline void list_add_tail(list_t *head, list_t *node)
{
	list_add_before(head, node);
}

/* Unlinks node and initialises it again, so that a second call has no effect. */
static inline void list_del(list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

static inline size_t list_length(const list_t *head)
{
	size_t n = 0;
	for (const list_t *it = head->next; it != head; it = it->next)
		n++;
	return n;
}
