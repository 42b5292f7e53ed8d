#include "placement.h"

static int rank_by_hash(const core_t *core, const ranks_t *ranks)
{
	(void)core;
	for (size_t i = 0; i < ranks->len; i++) {
		if (ranks->proxies[i]->self)
			return (int)i;
	}
	return -1;
}

/* Slots claimed at the member enforce the limit, so a home may use all of it. */
static int64_t whole_limit(const core_t *core, int64_t limit)
{
	(void)core;
	return limit;
}

static int rank_all_first(const core_t *core, const ranks_t *ranks)
{
	(void)core;
	(void)ranks;
	return 0;
}

static int64_t equal_share(const core_t *core, int64_t limit)
{
	int64_t proxies = (int64_t)HASH_COUNT(core->fleet->proxies);
	int64_t share = proxies > 0 ? limit / proxies : limit;

	return share > 0 ? share : 1;
}

const placement_ops_t placement_home = {
	.name = "home",
	.rank = rank_by_hash,
	.share = whole_limit,
};

const placement_ops_t placement_equal_shares = {
	.name = "equal shares",
	.rank = rank_all_first,
	.runs_all = true,
	.share = equal_share,
};
