package org.skylarkstack.bench;

/**
 * Counts refusals and compares them with the team's ideal fleet-wide bucket, which pays
 * for what the limiter under measurement admits.
 */
final class RefusalCount implements LimitSimulation.Observer {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double rate;

	private final double burst;

	private final long fromNanos;

	private double level;

	private long updatedNanos;

	private long requests;

	private long refused;

	private long wrong;

	RefusalCount(double rate, double burst, long fromNanos) {
		this.rate = rate;
		this.burst = burst;
		this.fromNanos = fromNanos;
		this.level = burst;
	}

	long requests() {
		return this.requests;
	}

	long refused() {
		return this.refused;
	}

	long wrong() {
		return this.wrong;
	}

	void request(long realNanos) {
		if (realNanos >= this.fromNanos) {
			this.requests++;
		}
	}

	@Override
	public void changed(long realNanos, double tokens) {
		refill(realNanos);
		this.level = Math.min(this.burst, this.level - tokens);
	}

	@Override
	public void refused(long realNanos, long tokens) {
		refill(realNanos);
		if (realNanos >= this.fromNanos) {
			this.refused++;
			if (this.level >= tokens) {
				this.wrong++;
			}
		}
	}

	private void refill(long realNanos) {
		double elapsed = (realNanos - this.updatedNanos) / NANOS_PER_SECOND;
		this.level = Math.min(this.burst, this.level + elapsed * this.rate);
		this.updatedNanos = realNanos;
	}

}
