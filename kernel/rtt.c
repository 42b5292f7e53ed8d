#include "rtt.h"

/* Parts of the former mean and deviation that a sample replaces, and the deviations waited for. */
#define MEAN_DIVISOR	   8
#define DEVIATION_DIVISOR  4
#define TIMEOUT_DEVIATIONS 4

void rtt_add(rtt_t *rtt, usec_t sample)
{
	usec_t error;

	if (rtt->smoothed == 0) {
		rtt->smoothed = sample;
		rtt->deviation = sample / 2;
		return;
	}
	error = sample > rtt->smoothed ? sample - rtt->smoothed : rtt->smoothed - sample;
	rtt->deviation += error / DEVIATION_DIVISOR - rtt->deviation / DEVIATION_DIVISOR;
	rtt->smoothed += sample / MEAN_DIVISOR - rtt->smoothed / MEAN_DIVISOR;
}

usec_t rtt_timeout(const rtt_t *rtt)
{
	return rtt->smoothed + TIMEOUT_DEVIATIONS * rtt->deviation;
}
