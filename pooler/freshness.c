#include "freshness.h"

void freshness_reset(freshness_t *freshness)
{
	freshness->next = 0;
	freshness->len = 0;
}

static const sample_t *newest(const freshness_t *freshness)
{
	return &freshness->ring[(freshness->next + FRESHNESS_KEPT - 1) % FRESHNESS_KEPT];
}

void freshness_add(freshness_t *freshness, usec_t sent_at, position_t position)
{
	/* Replies come back out of order over several connections; old ones add nothing. */
	if (freshness->len != 0 && sent_at < newest(freshness)->sent_at + FRESHNESS_SPACING)
		return;
	freshness->ring[freshness->next] = (sample_t){.sent_at = sent_at, .position = position};
	freshness->next = (freshness->next + 1) % FRESHNESS_KEPT;
	if (freshness->len < FRESHNESS_KEPT)
		freshness->len++;
}

bool freshness_position(const freshness_t *freshness, usec_t now, usec_t max_age,
			position_t *position)
{
	for (size_t i = freshness->len; i > 0; i--) {
		const sample_t *sample =
			&freshness->ring[(freshness->next + FRESHNESS_KEPT - i) % FRESHNESS_KEPT];

		if (sample->sent_at + max_age >= now) {
			*position = sample->position;
			return true;
		}
	}
	return false;
}
