#include "pg_replica.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pg_log.h"
#include "pg_out.h"

void pg_replica_close_upstream(void)
{
	if (self.upstream_fd >= 0)
		close(self.upstream_fd);
	self.upstream_fd = -1;
	g_byte_array_set_size(self.upstream_in, 0);
	while (!g_queue_is_empty(&self.pending)) {
		pending_entry_t *pending = g_queue_pop_head(&self.pending);

		g_ptr_array_unref(pending->entry.writes);
		g_free(pending);
	}
}

void pg_replica_close_followers(void)
{
	for (guint i = 0; i < self.conns->len; i++) {
		conn_t *conn = self.conns->pdata[i];

		conn->closing |= conn->kind == CONN_REPLICA;
	}
}

void pg_replica_accept(conn_t *conn, char *text)
{
	gchar **words = g_strsplit(text, " ", -1);
	guint64 term = g_ascii_strtoull(words[0], NULL, 10);
	guint64 common = 0;
	char *line;

	if (!self.primary || term != self.sealed_term || self.isolated) {
		conn->closing = TRUE;
		g_strfreev(words);
		return;
	}
	for (int i = 1; words[i] != NULL; i++) {
		char *colon = strchr(words[i], ':');
		guint64 their_term = g_ascii_strtoull(words[i], NULL, 10);
		guint64 end = colon != NULL ? g_ascii_strtoull(colon + 1, NULL, 10) : 0;

		for (guint64 lsn = common; lsn < end && lsn < self.log->len; lsn++) {
			if (((entry_t *)self.log->pdata[lsn])->term != their_term)
				break;
			common = lsn + 1;
		}
		if (common < end)
			break;
	}
	conn->kind = CONN_REPLICA;
	conn->sent_lsn = common;
	line = g_strdup_printf("T %" G_GUINT64_FORMAT "\n", common);
	g_byte_array_append(conn->out, (guint8 *)line, (guint)strlen(line));
	g_free(line);
	g_strfreev(words);
}

void pg_replica_send_entries(conn_t *conn)
{
	while (conn->sent_lsn < self.log->len) {
		const entry_t *entry = self.log->pdata[conn->sent_lsn++];
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

static void receive_line(const char *line)
{
	gchar **words = g_strsplit(line, " ", -1);
	pending_entry_t *pending;

	if (strcmp(words[0], "T") == 0) {
		pg_log_truncate(g_ascii_strtoull(words[1], NULL, 10));
		g_strfreev(words);
		return;
	}
	pending = g_new0(pending_entry_t, 1);
	pending->apply_at = pg_now_us() + self.lag_us;
	pending->entry.term = g_ascii_strtoull(words[1], NULL, 10);
	pending->entry.writes = g_ptr_array_new_with_free_func(g_free);
	for (int i = 3; words[i] != NULL; i++) {
		gsize len;
		guchar *raw = g_base64_decode(words[i] + 1, &len);

		g_ptr_array_add(pending->entry.writes, g_strndup((char *)raw, len));
		g_free(raw);
	}
	g_queue_push_tail(&self.pending, pending);
	g_strfreev(words);
}

void pg_replica_receive(void)
{
	guint8 *end;

	while ((end = memchr(self.upstream_in->data, '\n', self.upstream_in->len)) != NULL) {
		guint len = (guint)(end - self.upstream_in->data);
		char *line = g_strndup((char *)self.upstream_in->data, len);

		g_byte_array_remove_range(self.upstream_in, 0, len + 1);
		receive_line(line);
		g_free(line);
	}
}

void pg_replica_apply_due(void)
{
	while (!g_queue_is_empty(&self.pending)) {
		pending_entry_t *pending = g_queue_peek_head(&self.pending);

		if (pending->apply_at > pg_now_us())
			return;
		g_queue_pop_head(&self.pending);
		pg_log_append(pending->entry.term, pending->entry.writes);
		g_free(pending);
	}
}

static void send_greeting(void)
{
	GString *text = g_string_new(NULL);
	GByteArray *out = g_byte_array_new();

	g_string_printf(text, "%" G_GUINT64_FORMAT, self.sealed_term);
	for (guint i = 0; i < self.log->len; i++) {
		guint64 term = ((entry_t *)self.log->pdata[i])->term;

		if (i + 1 == self.log->len || ((entry_t *)self.log->pdata[i + 1])->term != term)
			g_string_append_printf(text, " %" G_GUINT64_FORMAT ":%u", term, i + 1);
	}
	pg_put_u32(out, 8 + (guint32)text->len);
	pg_put_u32(out, PG_CODE_REPLICATION);
	g_byte_array_append(out, (guint8 *)text->str, (guint)text->len);
	if (write(self.upstream_fd, out->data, out->len) != (ssize_t)out->len)
		pg_replica_close_upstream();
	g_byte_array_unref(out);
	g_string_free(text, TRUE);
}

void pg_replica_connect(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	gchar **parts;

	if (self.upstream == NULL || self.upstream_fd >= 0 || self.isolated ||
	    pg_now_us() < self.upstream_retry_at)
		return;
	self.upstream_retry_at = pg_now_us() + PG_UPSTREAM_RETRY_MS * 1000;
	parts = g_strsplit(self.upstream, ":", 2);
	inet_pton(AF_INET, parts[0], &sin.sin_addr);
	sin.sin_port = htons((guint16)atoi(parts[1]));
	g_strfreev(parts);
	self.upstream_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(self.upstream_fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		pg_replica_close_upstream();
		return;
	}
	send_greeting();
}
