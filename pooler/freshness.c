#include "freshness.h"

void freshness_reset(freshness_t *freshness)
{
	if (freshness == NULL)
		return;
	freshness->next = 0;
	freshness->len = 0;
}

static const sample_t *newest_sample(const freshness_t *freshness)
{
	return &freshness->ring[(freshness->next + FRESHNESS_SAMPLES - 1) % FRESHNESS_SAMPLES];
}

void freshness_add(freshness_t *freshness, usec_t sent_at, position_t position)
{
	/*
	 * Replies arrive out of order over several connections; a sample older than the newest adds
	 * nothing.
	 */
	if (freshness->len != 0 && sent_at < newest_sample(freshness)->sent_at + FRESHNESS_SPACING)
		return;
	freshness->ring[freshness->next] = (sample_t){.sent_at = sent_at, .position = position};
	freshness->next = (freshness->next + 1) % FRESHNESS_SAMPLES;
	if (freshness->len < FRESHNESS_SAMPLES)
		freshness->len++;
}

/* The sample that is before_end places before the end of the ring. */
static const sample_t *sample_at(const freshness_t *freshness, size_t before_end)
{
	return &freshness->ring[(freshness->next + FRESHNESS_SAMPLES - before_end) %
				FRESHNESS_SAMPLES];
}

bool freshness_min_position(const freshness_t *freshness, usec_t now, usec_t max_age,
			    sample_t *sample)
{
	for (size_t i = freshness != NULL ? freshness->len : 0; i > 0; i--) {
		*sample = *sample_at(freshness, i);
		if (sample->sent_at + max_age >= now)
			return true;
	}
	return false;
}

usec_t freshness_position_time(const freshness_t *freshness, position_t position)
{
	for (size_t i = 1; freshness != NULL && i <= freshness->len; i++) {
		const sample_t *sample = sample_at(freshness, i);

		if (position_covers(position, sample->position))
			return sample->sent_at;
	}
	return 0;
}
