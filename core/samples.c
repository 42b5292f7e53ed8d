#include "samples.h"

#include <string.h>

#include "group.h"

/*
 * The log of a superseded primary may stop growing, and data compared with it would
 * look fresh for ever. So a sample counts only once a majority has reported, for
 * requests sent no earlier than the sample's, that it still obeys the primary's term.
 */
void samples_confirm(group_t *group)
{
	for (size_t s = 0; s < GROUP_SAMPLES; s++) {
		sample_t *sample = &group->samples[s];
		size_t witnesses = 0;

		if (sample->at == 0 || sample->confirmed)
			continue;
		for (size_t i = 0; i < group->member_count; i++) {
			const member_t *member = &group->members[i];

			witnesses += member->has_report && member->reported_as_of >= sample->at &&
				     member->report.sealed == group->term;
		}
		sample->confirmed = witnesses >= group_majority(group);
	}
}

usec_t samples_time_of(const group_t *group, uint64_t lsn)
{
	usec_t best = 0;

	for (size_t s = 0; s < GROUP_SAMPLES; s++) {
		const sample_t *sample = &group->samples[s];

		if (sample->confirmed && sample->lsn <= lsn && sample->at > best)
			best = sample->at;
	}
	return best;
}

void samples_update_members(group_t *group)
{
	for (size_t i = 0; i < group->member_count; i++) {
		member_t *member = &group->members[i];

		member->data_as_of = member_is_current(member)
					     ? samples_time_of(group, member->report.log.lsn)
					     : 0;
	}
}

void samples_clear(group_t *group)
{
	if (group->samples != NULL)
		memset(group->samples, 0, GROUP_SAMPLES * sizeof(group->samples[0]));
	group->sample_next = 0;
}

void samples_add(group_t *group, const report_t *report, usec_t sent)
{
	const sample_t *last =
		&group->samples[(group->sample_next + GROUP_SAMPLES - 1) % GROUP_SAMPLES];
	sample_t *sample = &group->samples[group->sample_next];

	if (last->at != 0 && sent < last->at + SAMPLE_SPACING)
		return;
	group->sample_next = (group->sample_next + 1) % GROUP_SAMPLES;
	*sample = (sample_t){.at = sent, .lsn = report->log.lsn};
}
