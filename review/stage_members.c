/* Two services of three members each, as PROTOCOL.md describes them: a primary and two replicas. */
#include "stage.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CONNECT_MS   12
#define RECEIVE_MS   1
#define LAG_MS	     20 /* usual */
#define PROMOTE_MS   300
#define DEMOTE_MS    1000
#define HEARTBEAT_MS 1200
#define QUEUE_MAX    24

typedef struct setting {
	struct setting *next;
	char name[24];
	char value[40];
} setting_t;

typedef struct prepared {
	struct prepared *next;
	char name[24];
	bool writes;
} prepared_t;

typedef struct session {
	link_t *link; /* NULL: closed */
	member_t *member;
	int64_t process; /* born of the member's process that has the session */
	bool started;
	bool busy;
	char state; /* I, T or E */
	bool read_only;
	setting_t *settings;
	prepared_t *prepared;
	entry_t writes[16];
	size_t write_count;
	char *line; /* request in progress */
} session_t;

const char *const service_names[SERVICES] = {"core", "ledger"};
member_t members[SERVICES * MEMBERS];
static uint64_t runs;

/* --- the log --- */

member_t *member_primary(int service)
{
	member_t *primary = NULL;

	for (int i = service * MEMBERS; i < (service + 1) * MEMBERS; i++) {
		if (members[i].primary && (primary == NULL || members[i].term > primary->term))
			primary = &members[i];
	}
	return primary;
}

static void append(member_t *member, const entry_t *entry)
{
	if ((member->log_len & (member->log_len - 1)) == 0)
		member->log = realloc(member->log, (2 * member->log_len + 1) * sizeof(entry_t));
	member->log[member->log_len++] = *entry;
}

static void catch_up(member_t *member)
{
	member_t *primary = member_primary(member->service);
	size_t common;

	if (member->primary || member->listener == NULL || member->deaf || primary == NULL ||
	    primary->listener == NULL)
		return;
	common = member->log_len < primary->log_len ? member->log_len : primary->log_len;
	while (common > 0 && member->log[common - 1].term != primary->log[common - 1].term)
		common--;
	while (member->log_len > common)
		member->log_len--;
	member->term = primary->term;
	while (member->log_len < primary->log_len &&
	       primary->log[member->log_len].at + RECEIVE_MS <= now_ms())
		append(member, &primary->log[member->log_len]);
}

static size_t applied_len(member_t *member)
{
	size_t len;

	catch_up(member);
	len = member->log_len;
	if (member->primary)
		return len;
	/* A growing lag hides nothing that was applied already. */
	if (member->applied > len)
		member->applied = len;
	while (len > member->applied && member->log[len - 1].at + member->lag_ms > now_ms())
		len--;
	member->applied = len;
	return len;
}

/* --- entries in the store --- */

static void write_entry(member_t *member)
{
	char key[64];
	char value[512];
	char born[64] = "";

	if (stage.births)
		snprintf(born, sizeof(born), ",\"born\":%" PRId64, member->born);
	snprintf(key, sizeof(key), "servers/%s", member->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"plateau\","
		 "\"version\":\"1.0\",\"slots\":%d,\"state\":\"%s\",\"dbRole\":\"%s\","
		 "\"coldLeftMs\":0,\"seq\":%" PRIu64 "%s}",
		 service_names[member->service], member->port, stage.slots,
		 member->leaving ? "draining" : "ready", member->primary ? "primary" : "replica",
		 ++member->seq, born);
	store_put(key, value);
}

static void beat(void *arg)
{
	member_t *member = arg;

	after_ms(HEARTBEAT_MS, beat, member);
	/* A member that has just started has registered itself, or is about to. */
	if (member->listener != NULL && now_ms() >= member->started_at + HEARTBEAT_MS)
		write_entry(member);
}

/* --- replies --- */

static void reply(session_t *session, const char *result)
{
	member_t *member = session->member;
	size_t len = applied_len(member);

	session->busy = false;
	if (session->link == NULL)
		return;
	if (len != 0)
		link_printf(session->link, "%sREADY %c %" PRIu64 ".%" PRIu64 "\r\n", result,
			    session->state, member->log[len - 1].term, member->log[len - 1].number);
	else
		link_printf(session->link, "%sREADY %c %" PRIu64 ".0\r\n", result, session->state,
			    member->term);
}

static void reply_error(session_t *session, const char *code)
{
	char text[80];

	if (session->state == 'T')
		session->state = 'E';
	snprintf(text, sizeof(text), "ERR %s %s\r\n", code, session->member->id);
	reply(session, text);
}

static void reply_signed(session_t *session, const char *id, const char *row)
{
	char text[256];

	note("%s runs at %s, %" PRIu64 ".%zu", id, session->member->id, session->member->term,
	     applied_len(session->member));
	snprintf(text, sizeof(text), "%s%s%sDONE %s.%" PRIu64 "\r\n", row != NULL ? "ROW " : "",
		 row != NULL ? row : "", row != NULL ? "\r\n" : "", session->member->id, ++runs);
	reply(session, text);
}

/* --- statements --- */

static void roll_back(session_t *session)
{
	session->write_count = 0;
	session->state = 'I';
	session->read_only = false;
}

static void commit(session_t *session)
{
	member_t *member = session->member;

	for (size_t i = 0; i < session->write_count; i++) {
		entry_t *entry = &session->writes[i];

		entry->term = member->term;
		entry->number = member->log_len + 1;
		entry->at = now_ms();
		append(member, entry);
		note("commit %s at %s, %" PRIu64 ".%" PRIu64, entry->id, member->id, entry->term,
		     entry->number);
	}
	roll_back(session);
}

static void run_read(session_t *session, const char *id, const char *item)
{
	member_t *member = session->member;

	for (size_t i = session->write_count; i > 0; i--) {
		if (strcmp(session->writes[i - 1].item, item) == 0) {
			reply_signed(session, id, session->writes[i - 1].data);
			return;
		}
	}
	for (size_t i = applied_len(member); i > 0; i--) {
		if (strcmp(member->log[i - 1].item, item) == 0) {
			reply_signed(session, id, member->log[i - 1].data);
			return;
		}
	}
	reply_signed(session, id, "none");
}

static void on_member_input(link_t *link);
static void free_session(session_t *session);

/* A commit whose answer waits until a replica has received it. */
typedef struct ack {
	session_t *session;
	uint64_t number;
	char id[40];
} ack_t;

static bool is_received(const member_t *primary, uint64_t number)
{
	for (int i = 0; i < SERVICES * MEMBERS; i++) {
		member_t *member = &members[i];

		if (member == primary || member->service != primary->service ||
		    member->listener == NULL)
			continue;
		catch_up(member);
		if (!member->deaf && member->log_len >= number)
			return true;
	}
	return false;
}

static void answer_commit(void *arg)
{
	ack_t *ack = arg;
	session_t *session = ack->session;
	member_t *member = session->member;

	if (member->listener == NULL || session->process != member->born) {
		if (session->link == NULL)
			free_session(session);
		free(ack);
		return;
	}
	if (stage.sync_replicas != 0 && !is_received(member, ack->number)) {
		session->busy = true;
		after_ms(2, answer_commit, ack);
		return;
	}
	session->busy = false;
	if (session->link == NULL) {
		free_session(session);
	} else {
		reply_signed(session, ack->id, NULL);
		on_member_input(session->link);
	}
	free(ack);
}

/* Answers a statement that may have committed. */
static void reply_committed(session_t *session, const char *id, bool committed)
{
	ack_t *ack;

	if (!committed || stage.sync_replicas == 0) {
		reply_signed(session, id, NULL);
		return;
	}
	ack = calloc(1, sizeof(*ack));
	ack->session = session;
	ack->number = session->member->log_len;
	snprintf(ack->id, sizeof(ack->id), "%s", id);
	session->busy = true;
	after_ms(2, answer_commit, ack);
}

static void run_write(session_t *session, const char *id, const char *item, const char *data)
{
	entry_t *entry;

	if (!session->member->primary || session->read_only) {
		reply_error(session, "READONLY");
		return;
	}
	if (session->write_count == 16) {
		reply_error(session, "FAILED");
		return;
	}
	entry = &session->writes[session->write_count++];
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->id, sizeof(entry->id), "%s", id);
	snprintf(entry->item, sizeof(entry->item), "%s", item);
	snprintf(entry->data, sizeof(entry->data), "%s", data);
	if (session->state == 'I') {
		commit(session);
		reply_committed(session, id, true);
		return;
	}
	reply_signed(session, id, NULL);
}

static void run_commit(session_t *session, const char *id)
{
	bool writes;

	if (session->state == 'I') {
		reply_error(session, "MALFORMED");
		return;
	}
	if (session->state == 'E') {
		roll_back(session);
		reply_error(session, "ABORTED");
		return;
	}
	if (session->write_count != 0 && !session->member->primary) {
		roll_back(session);
		reply_error(session, "READONLY");
		return;
	}
	writes = session->write_count != 0;
	commit(session);
	reply_committed(session, id, writes);
}

static bool has_applied(member_t *member, uint64_t term, uint64_t number)
{
	size_t len = applied_len(member);

	if (number == 0)
		return member->term >= term;
	return number <= len && member->log[number - 1].term == term;
}

static void run_status(session_t *session)
{
	member_t *member = session->member;
	char text[160];
	int busy = 0;

	catch_up(member);
	for (int i = 0; i < stage.slots; i++)
		busy += member->busy_until[i] > now_ms();
	snprintf(text, sizeof(text),
		 "ROW %s %" PRIu64 " %" PRIu64 ".%zu %" PRIu64 " %d %d %d\r\nDONE -\r\n",
		 member->primary ? "primary" : "replica", member->term,
		 member->log_len != 0 ? member->log[member->log_len - 1].term : member->term,
		 member->log_len, member->term, member->primary ? 0 : member->lag_ms, busy,
		 member->sessions);
	reply(session, text);
}

static void run_set(session_t *session, const char *name, const char *value)
{
	setting_t *setting = calloc(1, sizeof(*setting));

	snprintf(setting->name, sizeof(setting->name), "%s", name);
	snprintf(setting->value, sizeof(setting->value), "%s", value);
	setting->next = session->settings;
	session->settings = setting;
	reply(session, "DONE -\r\n");
}

static void run_prepare(session_t *session, const char *name, const char *mode)
{
	prepared_t *prepared = calloc(1, sizeof(*prepared));

	snprintf(prepared->name, sizeof(prepared->name), "%s", name);
	prepared->writes = strcmp(mode, "WRITE") == 0;
	prepared->next = session->prepared;
	session->prepared = prepared;
	reply(session, "DONE -\r\n");
}

static void forget_session_state(session_t *session)
{
	while (session->settings != NULL) {
		setting_t *setting = session->settings;

		session->settings = setting->next;
		free(setting);
	}
	while (session->prepared != NULL) {
		prepared_t *prepared = session->prepared;

		session->prepared = prepared->next;
		free(prepared);
	}
}

static void run_exec(session_t *session, const char *id, const char *name, const char *item,
		     const char *data)
{
	for (prepared_t *prepared = session->prepared; prepared != NULL;
	     prepared = prepared->next) {
		if (strcmp(prepared->name, name) != 0)
			continue;
		if (prepared->writes)
			run_write(session, id, item, data);
		else
			run_read(session, id, item);
		return;
	}
	reply_error(session, "NOSTMT");
}

typedef struct words {
	char id[40];
	char w[5][64];
	bool has_after;
	uint64_t term;
	uint64_t number;
} words_t;

static void split(const char *line, words_t *words)
{
	char first[16];
	char position[64];
	int used = 0;

	memset(words, 0, sizeof(*words));
	sscanf(line, "QUERY %39s %15s %n", words->id, first, &used);
	if (strcmp(first, "AFTER") == 0) {
		const char *rest = line + used;

		sscanf(rest, "%63s %n", position, &used);
		sscanf(position, "%" SCNu64 ".%" SCNu64, &words->term, &words->number);
		words->has_after = true;
		sscanf(rest + used, "%63s %63s %63s %63s %63s", words->w[0], words->w[1],
		       words->w[2], words->w[3], words->w[4]);
		return;
	}
	sscanf(line, "QUERY %*s %63s %63s %63s %63s %63s", words->w[0], words->w[1], words->w[2],
	       words->w[3], words->w[4]);
}

static void on_member_input(link_t *link);

static void run_statement(session_t *session, const words_t *words)
{
	const char *verb = words->w[0];

	if (session->state == 'E' && strcmp(verb, "ROLLBACK") != 0 && strcmp(verb, "COMMIT") != 0 &&
	    strcmp(verb, "STATUS") != 0)
		reply_error(session, "MALFORMED");
	else if (words->has_after && !has_applied(session->member, words->term, words->number))
		reply_error(session, "LAGGING");
	else if (session->state == 'T' && !session->read_only && !session->member->primary &&
		 strcmp(verb, "COMMIT") != 0 && strcmp(verb, "ROLLBACK") != 0)
		reply_error(session, "READONLY");
	else if (strcmp(verb, "READ") == 0)
		run_read(session, words->id, words->w[1]);
	else if (strcmp(verb, "WRITE") == 0)
		run_write(session, words->id, words->w[1], words->w[2]);
	else if (strcmp(verb, "EXEC") == 0)
		run_exec(session, words->id, words->w[1], words->w[2], words->w[3]);
	else if (strcmp(verb, "COMMIT") == 0)
		run_commit(session, words->id);
	else if (strcmp(verb, "STATUS") == 0)
		run_status(session);
	else if (strcmp(verb, "SET") == 0)
		run_set(session, words->w[1], words->w[2]);
	else if (strcmp(verb, "PREPARE") == 0)
		run_prepare(session, words->w[1], words->w[2]);
	else if (strcmp(verb, "RESET") == 0) {
		forget_session_state(session);
		reply(session, "DONE -\r\n");
	} else if (strcmp(verb, "ROLLBACK") == 0) {
		roll_back(session);
		reply(session, "DONE -\r\n");
	} else if (strcmp(verb, "BEGIN") == 0) {
		session->read_only = strcmp(words->w[1], "READ") == 0;
		if (!session->read_only && !session->member->primary) {
			reply_error(session, "READONLY");
			return;
		}
		session->state = 'T';
		reply(session, "DONE -\r\n");
	} else {
		reply_error(session, "MALFORMED");
	}
}

static void free_session(session_t *session)
{
	forget_session_state(session);
	free(session->line);
	free(session);
}

/* The request has had its slot for as long as it takes. */
static void on_slot_done(void *arg)
{
	session_t *session = arg;
	words_t words;

	session->busy = false;
	if (session->member->listener == NULL || session->process != session->member->born) {
		if (session->link == NULL)
			free_session(session);
		return;
	}
	split(session->line, &words);
	free(session->line);
	session->line = NULL;
	/* A statement that runs when its client leaves still runs; its transaction does not commit.
	 */
	if (session->link == NULL && session->state != 'I' && strcmp(words.w[0], "COMMIT") != 0) {
		free_session(session);
		return;
	}
	run_statement(session, &words);
	/* Busy: the answer to its commit waits. */
	if (session->busy)
		return;
	if (session->link == NULL)
		free_session(session);
	else
		on_member_input(session->link);
}

/* Returns the time until a slot has done work of that length. */
static int64_t take_slot(member_t *member, int64_t work)
{
	int first = 0;
	int64_t start;

	for (int i = 1; i < stage.slots; i++) {
		if (member->busy_until[i] < member->busy_until[first])
			first = i;
	}
	start = member->busy_until[first] > now_ms() ? member->busy_until[first] : now_ms();
	member->busy_until[first] = start + work;
	return start + work - now_ms();
}

static bool takes_slot(const char *verb)
{
	return strcmp(verb, "READ") == 0 || strcmp(verb, "WRITE") == 0 ||
	       strcmp(verb, "EXEC") == 0 || strcmp(verb, "COMMIT") == 0 ||
	       strcmp(verb, "STATUS") == 0;
}

static void on_started(void *arg)
{
	session_t *session = arg;

	session->busy = false;
	if (session->link == NULL) {
		free_session(session);
		return;
	}
	if (session->process != session->member->born)
		return;
	session->started = true;
	reply(session, "");
	on_member_input(session->link);
}

static void on_start(session_t *session, const char *line)
{
	member_t *member = session->member;
	char service[64] = "";
	char id[64] = "";

	sscanf(line, "START %63s %*s %63s", service, id);
	if (strcmp(service, service_names[member->service]) != 0 ||
	    (*id != '\0' && strcmp(id, member->id) != 0)) {
		link_printf(session->link, "ERR MISROUTED %s\r\n", member->id);
		session->link->close_when_sent = true;
	} else if (member->sessions > stage.max_connections) {
		link_printf(session->link, "ERR TOOMANY %s\r\n", member->id);
		session->link->close_when_sent = true;
	} else {
		session->busy = true;
		after_ms(take_slot(member, CONNECT_MS), on_started, session);
	}
}

static void on_member_input(link_t *link)
{
	session_t *session = link->owner;
	words_t words;
	char *line;

	while (link->fd >= 0 && !session->busy && !link->close_when_sent &&
	       (line = link_take_line(link)) != NULL) {
		if (!session->started) {
			on_start(session, line);
			free(line);
			continue;
		}
		if (strncmp(line, "QUERY ", 6) != 0) {
			free(line);
			link_close(link);
			return;
		}
		split(line, &words);
		session->busy = true;
		if (!takes_slot(words.w[0])) {
			free(line);
			run_statement(session, &words);
			continue;
		}
		session->line = line;
		after_ms(take_slot(session->member,
				   strcmp(words.w[0], "STATUS") == 0 ? 1 : stage.work_ms),
			 on_slot_done, session);
	}
}

static void on_member_closed(link_t *link)
{
	session_t *session = link->owner;

	if (session->process == session->member->born)
		session->member->sessions--;
	session->link = NULL;
	if (!session->busy)
		free_session(session);
}

static void on_member_accept(int fd, void *owner)
{
	member_t *member = owner;
	session_t *session = calloc(1, sizeof(*session));

	session->member = member;
	session->process = member->born;
	session->state = 'I';
	session->link = link_add(fd, (link_ops_t){on_member_input, on_member_closed}, session);
	member->sessions++;
	member->connects++;
}

/* --- the process of a member --- */

static int64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void member_crash(member_t *member)
{
	note("the process of member %s is gone", member->id);
	link_close(member->listener);
	member->listener = NULL;
	for (link_t *link = stage.links; link != NULL; link = link->next) {
		if (link->fd >= 0 && link->ops.on_input == on_member_input &&
		    ((session_t *)link->owner)->member == member)
			link_reset(link);
	}
}

static void write_first_entry(void *arg)
{
	write_entry(arg);
}

/*
 * The member starts again at its address and under its id, holds and knows nothing of before, and
 * registers itself within its first heartbeat.
 */
void member_restart(member_t *member, int entry_delay)
{
	int fd = listen_on(&member->port);

	if (fd < 0)
		cannot_run("the member's port is taken");
	member->born = unix_ms();
	member->seq = 0;
	member->started_at = now_ms();
	member->sessions = 0;
	memset(member->busy_until, 0, sizeof(member->busy_until));
	if (member->primary && member_primary(member->service) != member)
		member->primary = false;
	member->listener = listener_add(fd, on_member_accept, member);
	member->log_len = 0;
	member->applied = 0;
	note("member %s runs again", member->id);
	after_ms(entry_delay, write_first_entry, member);
}

void member_end(member_t *member)
{
	char key[64];

	note("member %s ends", member->id);
	member_crash(member);
	snprintf(key, sizeof(key), "servers/%s", member->id);
	store_put(key, NULL);
}

/* A new member at the address of one that has ended, with its log. */
void member_succeed(member_t *member)
{
	size_t len = member->log_len;

	snprintf(member->id, sizeof(member->id), "i-%08x", 0x8f000000 + member->port);
	member->leaving = false;
	member_restart(member, 0);
	member->log_len = len;
}

static void demote_others(void *arg)
{
	member_t *primary = arg;

	for (int i = 0; i < SERVICES * MEMBERS; i++) {
		if (&members[i] != primary && members[i].service == primary->service &&
		    members[i].primary && members[i].listener != NULL &&
		    members[i].term < primary->term) {
			members[i].primary = false;
			write_entry(&members[i]);
		}
	}
}

static void take_lead(void *arg)
{
	member_t *member = arg;
	member_t *old = member_primary(member->service);

	if (member->listener == NULL || old == member)
		return;
	catch_up(member);
	member->term = (old != NULL ? old->term : member->term) + 1;
	member->primary = true;
	note("member %s leads term %" PRIu64, member->id, member->term);
	if (stage.on_promoted != NULL)
		stage.on_promoted(member);
	write_entry(member);
	after_ms(DEMOTE_MS, demote_others, member);
}

bool member_promote(const char *id)
{
	for (int i = 0; i < SERVICES * MEMBERS; i++) {
		if (strcmp(members[i].id, id) != 0 || members[i].listener == NULL)
			continue;
		after_ms(PROMOTE_MS, take_lead, &members[i]);
		return true;
	}
	return false;
}

/* Puts the next version of the configuration: "updates" goes to the service, the others to core. */
void config_put(int updates)
{
	static int version = 3;
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":["
		 "{\"name\":\"r1\",\"host\":\"jobs\",\"kind\":\"primary\",\"timeoutMs\":800,"
		 "\"sloMs\":100,\"priority\":1,\"service\":\"core\"},"
		 "{\"name\":\"r2\",\"host\":\"lookups\",\"kind\":\"bounded\",\"timeoutMs\":2000,"
		 "\"sloMs\":300,\"priority\":2,\"service\":\"core\",\"maxStaleMs\":1500},"
		 "{\"name\":\"r3\",\"host\":\"updates\",\"kind\":\"session\",\"timeoutMs\":800,"
		 "\"sloMs\":200,\"priority\":2,\"service\":\"%s\",\"maxStaleMs\":2500},"
		 "{\"name\":\"r4\",\"host\":\"notes\",\"kind\":\"session\",\"timeoutMs\":800,"
		 "\"sloMs\":200,\"priority\":2,\"service\":\"core\",\"maxStaleMs\":2500}],"
		 "\"services\":[{\"name\":\"core\",\"maxConns\":16,\"syncReplicas\":%d},"
		 "{\"name\":\"ledger\",\"maxConns\":16,\"syncReplicas\":%d}],"
		 "\"limits\":{\"txIdleMs\":3000}}",
		 version, service_names[updates], stage.sync_replicas, stage.sync_replicas);
	store_put("op/config", text);
	note("configuration %d acknowledged, updates -> %s", version, service_names[updates]);
	version += 2;
}

void members_start(void)
{
	stage.slots = 2;
	stage.max_connections = 16;
	stage.work_ms = 5;
	config_put(0);
	for (int i = 0; i < SERVICES * MEMBERS; i++) {
		member_t *member = &members[i];
		int fd = listen_below(&member->port);

		if (fd < 0)
			cannot_run("no port for a member");
		snprintf(member->id, sizeof(member->id), "i-%08x", 0x7f3a9100 + i);
		member->service = i / MEMBERS;
		member->primary = i % MEMBERS == 0;
		member->lag_ms = LAG_MS;
		member->term = 1;
		member->born = unix_ms() - 60000;
		member->listener = listener_add(fd, on_member_accept, member);
		member->started_at = -HEARTBEAT_MS;
		beat(member);
	}
}

void member_announce(member_t *member)
{
	member->leaving = true;
	note("member %s reports draining", member->id);
	write_entry(member);
}
