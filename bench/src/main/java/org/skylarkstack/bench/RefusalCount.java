package org.skylarkstack.bench;

/**
 * Counts refused requests and, of these, wrong refusals: requests for which an ideal
 * fleet-wide token bucket of the team held enough tokens. The bucket is charged for each
 * request that the measured limiter admits.
 */
final class RefusalCount implements LimitSimulation.Observer {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double tokensPerSecond;

	private final double burstTokens;

	private final long countFromNanos;

	private double level;

	private long updatedNanos;

	private long requests;

	private long refused;

	private long wrongRefusals;

	RefusalCount(double tokensPerSecond, double burstTokens, long countFromNanos) {
		this.tokensPerSecond = tokensPerSecond;
		this.burstTokens = burstTokens;
		this.countFromNanos = countFromNanos;
		this.level = burstTokens;
	}

	long requests() {
		return this.requests;
	}

	long refused() {
		return this.refused;
	}

	long wrongRefusals() {
		return this.wrongRefusals;
	}

	void recordRequest(long realNanos) {
		if (realNanos >= this.countFromNanos) {
			this.requests++;
		}
	}

	@Override
	public void charged(long realNanos, double tokens) {
		refill(realNanos);
		this.level = Math.min(this.burstTokens, this.level - tokens);
	}

	@Override
	public void refused(long realNanos, long tokens) {
		refill(realNanos);
		if (realNanos >= this.countFromNanos) {
			this.refused++;
			if (this.level >= tokens) {
				this.wrongRefusals++;
			}
		}
	}

	private void refill(long realNanos) {
		double elapsed = (realNanos - this.updatedNanos) / NANOS_PER_SECOND;
		this.level = Math.min(this.burstTokens, this.level + elapsed * this.tokensPerSecond);
		this.updatedNanos = realNanos;
	}

}
