/* Session tokens: encoding and decoding, rejection of forged tokens, merging, overflow. */
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "session.h"

static const unsigned char key[SESSION_KEY_BYTES] = {1, 2, 3};
static const unsigned char other_key[SESSION_KEY_BYTES] = {9};

static session_t *create_session(void *parent, int groups)
{
	session_t *session = talloc_zero(parent, session_t);

	for (int i = 0; i < groups; i++)
		session_merge(session, talloc_asprintf(session, "g%d", i),
			      (position_t){.term = 2, .lsn = (uint64_t)i + 10});
	return session;
}

static void test_round_trip(void)
{
	void *parent = talloc_new(NULL);
	char *token = session_encode(parent, key, create_session(parent, 3));
	session_t *back = talloc_zero(parent, session_t);

	g_assert_cmpint(session_decode(key, token, back), ==, 0);
	g_assert_cmpuint(session_min_position(back, "g2").lsn, ==, 12);
	g_assert_cmpuint(session_min_position(back, "g2").term, ==, 2);
	g_assert_cmpuint(session_min_position(back, "unseen").lsn, ==, 0);
	talloc_free(parent);
}

/* A token with any one character changed must be rejected. */
static void test_forged(void)
{
	void *parent = talloc_new(NULL);
	char *token = session_encode(parent, key, create_session(parent, 1));
	session_t *back = talloc_zero(parent, session_t);

	for (size_t i = 0; i < strlen(token); i++) {
		char *forged = talloc_strdup(parent, token);

		forged[i] = forged[i] == 'A' ? 'B' : 'A';
		g_assert_cmpint(session_decode(key, forged, back), <, 0);
	}
	g_assert_cmpint(session_decode(other_key, token, back), <, 0);
	g_assert_cmpint(session_decode(key, "", back), <, 0);
	g_assert_cmpint(session_decode(key, "not base64 at all!", back), <, 0);
	talloc_free(parent);
}

static void test_merge_keeps_maximum(void)
{
	session_t *session = create_session(NULL, 1);

	session_merge(session, "g0", (position_t){.term = 3, .lsn = 5});
	g_assert_cmpuint(session_min_position(session, "g0").term, ==, 3);
	g_assert_cmpuint(session_min_position(session, "g0").lsn, ==, 10);
	talloc_free(session);
}

/* A group dropped for lack of room must not look like one that was never seen. */
static void test_overflow(void)
{
	void *parent = talloc_new(NULL);
	session_t *session = create_session(parent, SESSION_MAX_GROUPS + 1);
	session_t *back = talloc_zero(parent, session_t);

	g_assert_true(session_is_partial(session, "g0"));
	g_assert_false(session_is_partial(session, "g5"));
	g_assert_cmpint(session_decode(key, session_encode(parent, key, session), back), ==, 0);
	g_assert_true(session_is_partial(back, "g0"));
	talloc_free(parent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/session/round-trip", test_round_trip);
	g_test_add_func("/session/forged", test_forged);
	g_test_add_func("/session/merge", test_merge_keeps_maximum);
	g_test_add_func("/session/overflow", test_overflow);
	return g_test_run();
}
