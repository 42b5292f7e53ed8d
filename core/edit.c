#include "edit.h"

#include <stdarg.h>

#include <talloc.h>

#include "tablesync.h"

static void finish_edit(edit_t *edit, edit_status_t status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void finish_edit(edit_t *edit, edit_status_t status, const char *fmt, ...)
{
	static const char *const names[] = {
		[EDIT_ACCEPTED] = "accepted",
		[EDIT_REFUSED] = "refused",
		[EDIT_UNKNOWN] = "unknown",
	};
	core_t *core = edit->core;
	action_t *action = core_add_action(core, ACTION_EDIT_DONE);
	va_list ap;

	va_start(ap, fmt);
	action->edit.text = talloc_vasprintf(action, fmt, ap);
	va_end(ap);
	action->id = edit->id;
	action->edit.status = status;
	action->edit.table_version = core->table->version;
	core_log(core, status != EDIT_ACCEPTED, "table edit %s id=%s author=%s version=%llu: %s",
		 names[status], edit->edit_id, edit->author,
		 (unsigned long long)core->table->version, action->edit.text);
	timers_cancel(&core->timers, &edit->timer);
	timers_cancel(&core->timers, &edit->retry_timer);
	list_del(&edit->node);
	talloc_free(edit);
}

static void on_timeout(run_timer_t *timer, usec_t now)
{
	edit_t *edit = list_entry(timer, edit_t, timer);

	(void)now;
	if (edit->commit_sent)
		finish_edit(edit, EDIT_UNKNOWN,
			    "the store has not answered; look for the edit's id in the history");
	else
		finish_edit(edit, EDIT_REFUSED, "the store could not be asked");
}

/* The key of an entry that was changed after the edit's base version; NULL if none. */
static const char *find_conflict(const edit_t *edit)
{
	for (size_t i = 0; i < edit->entry_count; i++) {
		const table_entry_t *held =
			table_find_entry(edit->core->table, edit->entries[i].key);

		if (held != NULL && held->version > edit->base_version)
			return held->key;
	}
	return NULL;
}

/* Send the compare-and-swap to the store. */
static void send_commit(edit_t *edit)
{
	core_t *core = edit->core;
	action_t *action = core_add_action(core, ACTION_STORE_COMMIT);

	edit->commit_sent = true;
	action->id = edit->id;
	action->commit.head_revision = edit->expected_head;
	action->commit.table_version = edit->sent_version;
	action->commit.edit_id = talloc_strdup(action, edit->edit_id);
	action->commit.author = talloc_strdup(action, edit->author);
	action->commit.entries = talloc_array(action, table_entry_t, edit->entry_count);
	action->commit.entry_count = edit->entry_count;
	for (size_t i = 0; i < edit->entry_count; i++) {
		action->commit.entries[i] = (table_entry_t){
			.key = talloc_strdup(action->commit.entries, edit->entries[i].key),
			.value = talloc_strdup(action->commit.entries, edit->entries[i].value),
			.version = edit->sent_version,
		};
	}
}

/* Check the edit against the table held here and try to commit it as the next version. */
static void check_and_commit(edit_t *edit)
{
	core_t *core = edit->core;
	err_t err = {0};
	const char *conflict = find_conflict(edit);

	if (conflict != NULL) {
		finish_edit(edit, EDIT_REFUSED,
			    "%s was changed by another operator since version %llu", conflict,
			    (unsigned long long)edit->base_version);
		return;
	}
	if (table_check(core->table, edit->entries, edit->entry_count, &err) < 0) {
		finish_edit(edit, EDIT_REFUSED, "%s: %s", err.peer, err.text);
		return;
	}
	edit->expected_head = core->head_revision;
	edit->sent_version = core->table->version + 1;
	send_commit(edit);
}

static void on_retry(run_timer_t *timer, usec_t now)
{
	(void)now;
	/*
	 * The retry must expect the same head as the first attempt. That attempt may have
	 * succeeded, and the watch may have delivered its result already: with the new head,
	 * the edit would be applied twice.
	 */
	send_commit(list_entry(timer, edit_t, retry_timer));
}

static void copy_entries(edit_t *edit, const edit_event_t *event)
{
	edit->entries = talloc_array(edit, table_entry_t, event->entry_count);
	edit->entry_count = event->entry_count;
	for (size_t i = 0; i < event->entry_count; i++) {
		edit->entries[i] = (table_entry_t){
			.key = talloc_strdup(edit, event->entries[i].key),
			.value = talloc_strdup(edit, event->entries[i].value),
		};
	}
}

void edit_start(core_t *core, uint64_t id, const edit_event_t *event)
{
	const core_timings_t *timings = &core->config.timings;
	edit_t *edit = talloc_zero(core, edit_t);

	edit->core = core;
	edit->id = id;
	edit->edit_id = talloc_strdup(edit, event->edit_id);
	edit->author = talloc_strdup(edit, event->author);
	edit->base_version = event->base_version;
	copy_entries(edit, event);
	list_add_tail(&core->edits, &edit->node);
	timers_arm(&core->timers, &edit->timer, core->now + timings->edit_timeout, on_timeout);
	/*
	 * Proxies that lose the store keep serving while they reach more than half of
	 * the fleet. An edit committed on the smaller side of a cut would not reach them.
	 */
	if (!tablesync_reaches_majority(core)) {
		finish_edit(edit, EDIT_REFUSED,
			    "this proxy does not hear more than half of the fleet");
		return;
	}
	check_and_commit(edit);
}

static edit_t *find_edit(const core_t *core, uint64_t id)
{
	list_for_each (it, &core->edits) {
		edit_t *edit = list_entry(it, edit_t, node);

		if (edit->id == id)
			return edit;
	}
	return NULL;
}

/* The store has committed the edit: apply it here; tablesync distributes it to the fleet. */
static void on_committed(edit_t *edit, const store_event_t *event)
{
	core_t *core = edit->core;

	if (tablesync_merge(core, event->entries, event->entry_count, event->table_version,
			    "edit") >= 0)
		core->head_revision = event->head_revision;
	finish_edit(edit, EDIT_ACCEPTED, "in force here as version %llu",
		    (unsigned long long)event->table_version);
}

/* Another edit was committed first: apply it, then try to commit this one after it. */
static void on_conflict(edit_t *edit, const store_event_t *event)
{
	core_t *core = edit->core;

	tablesync_merge(core, event->entries, event->entry_count, event->table_version, "store");
	if (event->head_revision > core->head_revision)
		core->head_revision = event->head_revision;
	if (event->edit_found)
		finish_edit(edit, EDIT_ACCEPTED, "an earlier answer was lost; it had been taken");
	else
		check_and_commit(edit);
}

void edit_store_done(core_t *core, uint64_t id, const store_event_t *event)
{
	edit_t *edit = find_edit(core, id);

	if (edit == NULL)
		return;
	switch (event->status) {
	case STORE_OK:
		on_committed(edit, event);
		break;
	case STORE_CONFLICT:
		on_conflict(edit, event);
		break;
	case STORE_FAILED:
		timers_arm(&core->timers, &edit->retry_timer,
			   core->now + core->config.timings.store_retry_interval, on_retry);
		break;
	}
}
