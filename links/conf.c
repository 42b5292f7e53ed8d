#include "conf.h"

#include <errno.h>
#include <stddef.h>

#include <glib.h>
#include <talloc.h>

#define MAX_MSEC 600000
#define MAX_BODY (64 * 1024 * 1024)

#define FIELD(name) .offset = offsetof(conf_t, name)

const setting_t conf_settings[] = {
	{.key = "node.name",
	 .type = SETTING_STRING,
	 FIELD(node_name),
	 .unit = "",
	 .help = "name of this proxy, unique in the fleet"},
	{.key = "node.zone",
	 .type = SETTING_STRING,
	 FIELD(node_zone),
	 .unit = "",
	 .help = "availability zone of this VM"},
	{.key = "callers.listen",
	 .type = SETTING_STRING,
	 FIELD(callers_listen),
	 .unit = "",
	 .help = "address on which callers connect, IP:PORT"},
	{.key = "callers.max_body_bytes",
	 .type = SETTING_INT,
	 FIELD(callers_max_body),
	 .default_text = "1048576",
	 .min = 1024,
	 .max = MAX_BODY,
	 .unit = "bytes",
	 .help = "largest request body"},
	{.key = "operators.listen",
	 .type = SETTING_STRING,
	 FIELD(operators_listen),
	 .unit = "",
	 .help = "address on which operators connect, IP:PORT"},
	{.key = "operators.token_file",
	 .type = SETTING_STRING,
	 FIELD(operators_token_file),
	 .unit = "",
	 .help = "file with the bearer token that operators present"},
	{.key = "peers.listen",
	 .type = SETTING_STRING,
	 FIELD(peers_listen),
	 .unit = "",
	 .help = "address on which other proxies reach this one, IP:PORT"},
	{.key = "peers.seeds",
	 .type = SETTING_LIST,
	 FIELD(peers_seeds),
	 .default_text = "",
	 .unit = "",
	 .help = "proxies to contact at start-up, each as NAME,ZONE,IP:PORT"},
	{.key = "peers.public_key",
	 .type = SETTING_STRING,
	 FIELD(peers_public_key),
	 .default_text = "",
	 .unit = "",
	 .help = "the fleet's CURVE public key, Z85; empty: peers are not authenticated"},
	{.key = "peers.secret_key_file",
	 .type = SETTING_STRING,
	 FIELD(peers_secret_key_file),
	 .default_text = "",
	 .unit = "",
	 .help = "file with the fleet's CURVE secret key, Z85"},
	{.key = "platform.url",
	 .type = SETTING_STRING,
	 FIELD(platform_url),
	 .unit = "",
	 .help = "URL of the platform's service, http://IP:PORT"},
	{.key = "platform.prefix",
	 .type = SETTING_STRING,
	 FIELD(platform_prefix),
	 .default_text = "/cyclamenspan/",
	 .unit = "",
	 .help = "prefix of the proxy's keys in the store"},
	{.key = "platform.timeout_ms",
	 .type = SETTING_INT,
	 FIELD(platform_timeout_ms),
	 .default_text = "1000",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "time-out of one call on the platform"},
	{.key = "backend.user",
	 .type = SETTING_STRING,
	 FIELD(backend_user),
	 .default_text = "cyclamenspan",
	 .unit = "",
	 .help = "user name at the backend servers"},
	{.key = "backend.database",
	 .type = SETTING_STRING,
	 FIELD(backend_database),
	 .default_text = "cyclamenspan",
	 .unit = "",
	 .help = "database name at the backend servers"},
	{.key = "backend.password_file",
	 .type = SETTING_STRING,
	 FIELD(backend_password_file),
	 .default_text = "",
	 .unit = "",
	 .help = "file with the user's password; empty: no password"},
	{.key = "backend.sslmode",
	 .type = SETTING_STRING,
	 FIELD(backend_sslmode),
	 .default_text = "prefer",
	 .unit = "",
	 .help = "libpq's sslmode"},
	{.key = "backend.connect_timeout_ms",
	 .type = SETTING_INT,
	 FIELD(backend_connect_timeout_ms),
	 .default_text = "2000",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "time-out of a new backend connection"},
	{.key = "session.key_file",
	 .type = SETTING_STRING,
	 FIELD(session_key_file),
	 .unit = "",
	 .help = "file with the fleet's session key, 64 hexadecimal digits"},
	{.key = "log.level",
	 .type = SETTING_STRING,
	 FIELD(log_level),
	 .default_text = "info",
	 .unit = "",
	 .help = "error, warning, info or debug",
	 .reloadable = true},
	{.key = "log.json",
	 .type = SETTING_BOOL,
	 FIELD(log_json),
	 .default_text = "false",
	 .unit = "",
	 .help = "log JSON lines",
	 .reloadable = true},
	{.key = "shutdown.grace_ms",
	 .type = SETTING_INT,
	 FIELD(shutdown_grace_ms),
	 .default_text = "30000",
	 .min = 0,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "longest time for requests and transactions to finish at shutdown",
	 .reloadable = true},
	{.key = "failover.poll_ms",
	 .type = SETTING_INT,
	 FIELD(failover_poll_ms),
	 .default_text = "100",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "interval at which the members of a group are queried for reports"},
	{.key = "failover.detect_floor_ms",
	 .type = SETTING_INT,
	 FIELD(failover_detect_floor_ms),
	 .default_text = "100",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "least time beyond a poll without an answer before a primary counts as failed"},
	{.key = "failover.stall_ms",
	 .type = SETTING_INT,
	 FIELD(failover_stall_ms),
	 .default_text = "500",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "least time that work stays unconfirmed before a primary counts as cut off"},
	{.key = "failover.fixed",
	 .type = SETTING_BOOL,
	 FIELD(failover_fixed),
	 .default_text = "false",
	 .unit = "",
	 .help = "detection by one watcher with a fixed time-out, a baseline for measurements"},
	{.key = "failover.fixed_timeout_ms",
	 .type = SETTING_INT,
	 FIELD(failover_fixed_timeout_ms),
	 .default_text = "3000",
	 .min = 10,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "time-out for failover.fixed"},
	{.key = "table.stale_ms",
	 .type = SETTING_INT,
	 FIELD(table_stale_ms),
	 .default_text = "3000",
	 .min = 100,
	 .max = MAX_MSEC,
	 .unit = "milliseconds",
	 .help = "longest time without confirmation that the table is current"},
};

const size_t conf_settings_len = sizeof(conf_settings) / sizeof(conf_settings[0]);

conf_t *conf_load(void *parent, const char *path, err_t *err)
{
	conf_t *conf = talloc_zero(parent, conf_t);

	if (settings_load(path, conf_settings, conf_settings_len, conf, err) == 0)
		return conf;
	talloc_free(conf);
	return NULL;
}

char *conf_read_secret(void *parent, const char *path, err_t *err)
{
	gchar *text = NULL;
	char *copy;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		err_set(err, -ENOENT, "read secret", path, "the file can't be read");
		return NULL;
	}
	copy = talloc_strdup(parent, g_strchomp(text));
	g_free(text);
	return copy;
}

int conf_read_password(void *parent, const conf_t *conf, char **out, err_t *err)
{
	*out = NULL;
	if (conf->backend_password_file[0] == '\0')
		return 0;
	*out = conf_read_secret(parent, conf->backend_password_file, err);
	return *out != NULL ? 0 : err->code;
}
