#include "core.h"

#include <jansson.h>

#include "confirm.h"
#include "group.h"
#include "queue.h"
#include "state.h"
#include "tablesync.h"

static json_int_t age_msec(const core_t *core, usec_t at)
{
	return at != 0 ? (json_int_t)((core->now - at) / USEC_PER_MSEC) : -1;
}

static json_t *dump_member(const core_t *core, const member_t *member)
{
	return json_pack("{s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:b, s:I, s:I, s:i, s:I, s:I}",
			 "address", member->spec.address, "zone", member->spec.zone, "known",
			 member->has_report, "leaving", member->leaving, "sealed",
			 (json_int_t)member->report.sealed, "log_term",
			 (json_int_t)member->report.log.term, "lsn",
			 (json_int_t)member->report.log.lsn, "says_primary", member->report.primary,
			 "report_age_ms", age_msec(core, member->reported_as_of), "data_age_ms",
			 age_msec(core, member->data_as_of), "misses", member->misses, "running",
			 (json_int_t)member->running, "srtt_us", (json_int_t)member->rtt.smoothed);
}

static json_t *dump_ranks(const ranks_t *ranks)
{
	json_t *out = json_array();

	for (size_t i = 0; i < ranks->len; i++)
		json_array_append_new(out, json_string(ranks->proxies[i]->name));
	return out;
}

static json_t *dump_group(const core_t *core, const group_t *group)
{
	json_t *members = json_object();
	const char *primary = group->primary != NULL ? group->primary->spec.name : NULL;

	for (size_t i = 0; i < group->member_count; i++)
		json_object_set_new(members, group->members[i].spec.name,
				    dump_member(core, &group->members[i]));
	return json_pack("{s:o, s:i, s:I, s:s?, s:s?, s:I, s:i, s:i, s:i, s:I, s:I, s:I, s:f, s:o}",
			 "served_by", dump_ranks(&group->ranks), "rank", group->rank, "term",
			 (json_int_t)group->term, "primary", primary, "last_takeover_reason",
			 group->takeover.reason, "takeovers", (json_int_t)group->takeover.count,
			 "takeover_state", (int)group->takeover.state, "queued",
			 (int)list_length(&group->queue), "confirming",
			 (int)list_length(&group->confirming), "read_time_us",
			 (json_int_t)group->service_time[ROW_READ], "write_time_us",
			 (json_int_t)group->service_time[ROW_WRITE], "confirm_time_us",
			 (json_int_t)group->confirm_time, "retry_tokens", group->retry_tokens,
			 "members", members);
}

static json_t *dump_proxy(const core_t *core, const proxy_t *proxy)
{
	return json_pack("{s:s?, s:s?, s:b, s:b, s:b, s:I, s:I}", "zone", proxy->zone, "address",
			 proxy->address, "self", proxy->self, "leaving", proxy->leaving, "suspect",
			 proxy->suspect, "heard_ms", age_msec(core, proxy->last_received),
			 "table_version",
			 (json_int_t)(proxy->self ? core->table->version : proxy->table_version));
}

static json_t *dump_fleet(const core_t *core)
{
	json_t *out = json_object();
	proxy_t *proxy;
	proxy_t *next;

	HASH_ITER (hh, core->fleet->proxies, proxy, next)
		json_object_set_new(out, proxy->name, dump_proxy(core, proxy));
	return out;
}

static json_t *dump_refusals(const core_t *core)
{
	json_t *out = json_object();

	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++)
		json_object_set_new(out, refusal_name((refusal_t)i),
				    json_integer((json_int_t)core->refusals[i]));
	return out;
}

static json_t *dump_groups(const core_t *core)
{
	json_t *out = json_object();
	group_t *group;
	group_t *next;

	HASH_ITER (hh, core->groups, group, next)
		json_object_set_new(out, group->name, dump_group(core, group));
	return out;
}

json_t *core_dump(const core_t *core)
{
	return json_pack(
		"{s:s, s:I, s:b, s:I, s:b, s:I, s:b, s:i, s:i, s:i, s:I, s:I, s:o, s:o, s:o}",
		"name", core->name, "incarnation", (json_int_t)core->config.incarnation, "draining",
		core->draining, "table_version", (json_int_t)core->table->version, "table_current",
		table_is_current(core), "store_contact_ms", age_msec(core, core->table_current_at),
		"watching_store", core->watching_store, "requests", (int)HASH_COUNT(core->requests),
		"connections", (int)HASH_COUNT(core->conns), "transactions",
		(int)HASH_COUNT(core->txs), "answered", (json_int_t)core->answered, "pauses",
		(json_int_t)core->pauses, "refusals", dump_refusals(core), "fleet",
		dump_fleet(core), "groups", dump_groups(core));
}

json_t *core_dump_table(const core_t *core)
{
	json_t *entries = json_object();
	table_item_t *item;
	table_item_t *next;

	HASH_ITER (hh, core->table->items, item, next) {
		if (item->entry.value == NULL)
			continue;
		json_object_set_new(entries, item->entry.key,
				    json_pack("{s:I, s:o}", "version",
					      (json_int_t)item->entry.version, "value",
					      json_loads(item->entry.value, 0, NULL)));
	}
	return json_pack("{s:I, s:o}", "version", (json_int_t)core->table->version, "entries",
			 entries);
}
