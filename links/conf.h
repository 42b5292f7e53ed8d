/* Settings of the proxy that serves requests over HTTP. The table in conf.c documents each one. */
#pragma once

#include "settings.h"

typedef struct conf {
	char *node_name;
	char *node_zone;
	char *callers_listen;
	int64_t callers_max_body;
	char *operators_listen;
	char *operators_token_file;
	char *peers_listen;
	string_list_t peers_seeds;
	char *peers_public_key;
	char *peers_secret_key_file;
	char *platform_url;
	char *platform_prefix;
	int64_t platform_timeout_ms;
	char *backend_user;
	char *backend_database;
	char *backend_password_file;
	char *backend_sslmode;
	int64_t backend_connect_timeout_ms;
	char *session_key_file;
	char *log_level;
	bool log_json;
	int64_t shutdown_grace_ms;
	int64_t failover_poll_ms;
	int64_t failover_detect_floor_ms;
	int64_t failover_stall_ms;
	bool failover_fixed;
	int64_t failover_fixed_timeout_ms;
	int64_t table_stale_ms;
} conf_t;

extern const setting_t conf_settings[];
extern const size_t conf_settings_len;

/* Load a settings file as a child of parent; returns NULL and sets err if the file is invalid. */
conf_t *conf_load(void *parent, const char *path, err_t *err);

/*
 * Read a secret from a file, as a child of parent and without trailing white space; returns NULL
 * and sets err if the file can't be read.
 */
char *conf_read_secret(void *parent, const char *path, err_t *err);

/*
 * Read the password of the backend user, as a child of parent; *out is NULL if no password file is
 * set. Returns 0 or a negative error number.
 */
int conf_read_password(void *parent, const conf_t *conf, char **out, err_t *err);
