#include "pg_replica.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pg_log.h"
#include "pg_out.h"

void pg_replica_drop_upstream(void)
{
	if (me.up_fd >= 0)
		close(me.up_fd);
	me.up_fd = -1;
	g_byte_array_set_size(me.up_in, 0);
	while (!g_queue_is_empty(&me.pending)) {
		pending_t *pending = g_queue_pop_head(&me.pending);

		g_ptr_array_unref(pending->entry.writes);
		g_free(pending);
	}
}

void pg_replica_drop_all(void)
{
	for (guint i = 0; i < me.conns->len; i++) {
		conn_t *conn = me.conns->pdata[i];

		conn->dead |= conn->kind == PEER_REPLICA;
	}
}

void pg_replica_welcome(conn_t *conn, char *text)
{
	gchar **words = g_strsplit(text, " ", -1);
	guint64 term = g_ascii_strtoull(words[0], NULL, 10);
	guint64 common = 0;
	char *line;

	if (!me.primary || term != me.sealed || me.cut) {
		conn->dead = TRUE;
		g_strfreev(words);
		return;
	}
	for (int i = 1; words[i] != NULL; i++) {
		char *colon = strchr(words[i], ':');
		guint64 their_term = g_ascii_strtoull(words[i], NULL, 10);
		guint64 end = colon != NULL ? g_ascii_strtoull(colon + 1, NULL, 10) : 0;

		for (guint64 lsn = common; lsn < end && lsn < me.log->len; lsn++) {
			if (((entry_t *)me.log->pdata[lsn])->term != their_term)
				break;
			common = lsn + 1;
		}
		if (common < end)
			break;
	}
	conn->kind = PEER_REPLICA;
	conn->sent_lsn = common;
	line = g_strdup_printf("T %" G_GUINT64_FORMAT "\n", common);
	g_byte_array_append(conn->out, (guint8 *)line, (guint)strlen(line));
	g_free(line);
	g_strfreev(words);
}

void pg_replica_feed(conn_t *conn)
{
	while (conn->sent_lsn < me.log->len) {
		const entry_t *entry = me.log->pdata[conn->sent_lsn++];
		GString *line = g_string_new(NULL);

		g_string_printf(line, "E %" G_GUINT64_FORMAT " %u", entry->term,
				entry->writes->len);
		for (guint i = 0; i < entry->writes->len; i++) {
			gchar *safe = g_base64_encode(entry->writes->pdata[i],
						      strlen(entry->writes->pdata[i]));

			g_string_append_printf(line, " .%s", safe);
			g_free(safe);
		}
		g_string_append_c(line, '\n');
		g_byte_array_append(conn->out, (guint8 *)line->str, (guint)line->len);
		g_string_free(line, TRUE);
	}
}

static void take_up_line(const char *line)
{
	gchar **words = g_strsplit(line, " ", -1);
	pending_t *pending;

	if (strcmp(words[0], "T") == 0) {
		pg_log_truncate(g_ascii_strtoull(words[1], NULL, 10));
		g_strfreev(words);
		return;
	}
	pending = g_new0(pending_t, 1);
	pending->at = pg_now_us() + me.lag_us;
	pending->entry.term = g_ascii_strtoull(words[1], NULL, 10);
	pending->entry.writes = g_ptr_array_new_with_free_func(g_free);
	for (int i = 3; words[i] != NULL; i++) {
		gsize len;
		guchar *raw = g_base64_decode(words[i] + 1, &len);

		g_ptr_array_add(pending->entry.writes, g_strndup((char *)raw, len));
		g_free(raw);
	}
	g_queue_push_tail(&me.pending, pending);
	g_strfreev(words);
}

void pg_replica_take(void)
{
	guint8 *end;

	while ((end = memchr(me.up_in->data, '\n', me.up_in->len)) != NULL) {
		guint len = (guint)(end - me.up_in->data);
		char *line = g_strndup((char *)me.up_in->data, len);

		g_byte_array_remove_range(me.up_in, 0, len + 1);
		take_up_line(line);
		g_free(line);
	}
}

void pg_replica_apply_due(void)
{
	while (!g_queue_is_empty(&me.pending)) {
		pending_t *pending = g_queue_peek_head(&me.pending);

		if (pending->at > pg_now_us())
			return;
		g_queue_pop_head(&me.pending);
		pg_log_append(pending->entry.term, pending->entry.writes);
		g_free(pending);
	}
}

static void greet_upstream(void)
{
	GString *text = g_string_new(NULL);
	GByteArray *out = g_byte_array_new();

	g_string_printf(text, "%" G_GUINT64_FORMAT, me.sealed);
	for (guint i = 0; i < me.log->len; i++) {
		guint64 term = ((entry_t *)me.log->pdata[i])->term;

		if (i + 1 == me.log->len || ((entry_t *)me.log->pdata[i + 1])->term != term)
			g_string_append_printf(text, " %" G_GUINT64_FORMAT ":%u", term, i + 1);
	}
	pg_put_u32(out, 8 + (guint32)text->len);
	pg_put_u32(out, PG_CODE_REPLICA);
	g_byte_array_append(out, (guint8 *)text->str, (guint)text->len);
	if (write(me.up_fd, out->data, out->len) != (ssize_t)out->len)
		pg_replica_drop_upstream();
	g_byte_array_unref(out);
	g_string_free(text, TRUE);
}

void pg_replica_connect(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	gchar **parts;

	if (me.upstream == NULL || me.up_fd >= 0 || me.cut || pg_now_us() < me.up_retry)
		return;
	me.up_retry = pg_now_us() + PG_RETRY_FOLLOW_MS * 1000;
	parts = g_strsplit(me.upstream, ":", 2);
	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	sin.sin_port = htons((guint16)atoi(parts[1]));
	g_strfreev(parts);
	me.up_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(me.up_fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		pg_replica_drop_upstream();
		return;
	}
	greet_upstream();
}
