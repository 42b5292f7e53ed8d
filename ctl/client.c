#include "client.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <talloc.h>

#define TIMEOUT_MSEC 15000L

static size_t on_body(char *data, size_t size, size_t count, void *ptr)
{
	char **text = ptr;

	*text = talloc_strndup_append_buffer(*text, data, size * count);
	return size * count;
}

int client_call(const client_t *client, const char *path, const json_t *body, long *status,
		char **response, err_t *err)
{
	CURL *easy = curl_easy_init();
	char *url = talloc_asprintf(NULL, "%s%s", client->endpoint, path);
	char *auth = client->token != NULL
			     ? talloc_asprintf(url, "Authorization: Bearer %s", client->token)
			     : NULL;
	char *post = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	struct curl_slist *headers = auth != NULL ? curl_slist_append(NULL, auth) : NULL;
	CURLcode code;

	*response = talloc_strdup(NULL, "");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MSEC);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	if (post != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, post);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	free(post);
	talloc_free(url);
	if (code == CURLE_OK)
		return 0;
	return err_set(err, -EHOSTUNREACH, "call proxy", client->endpoint, "%s",
		       curl_easy_strerror(code));
}
