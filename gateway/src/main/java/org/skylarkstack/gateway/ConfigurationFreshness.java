package org.skylarkstack.gateway;

/**
 * Knows how old the last complete look at the configuration is.
 *
 * <p>
 * A look proves that no withdrawal confirmed before it was sent is missing. The monotonic
 * clock stands still while a VM is suspended and the wall clock may jump, so the larger
 * of both ages counts: a suspended VM counts as stale, and a jump only costs a look.
 */
public final class ConfigurationFreshness {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long maxAgeMillis;

	private boolean looked;

	private long sentNanos;

	private long sentEpochMillis;

	/**
	 * Creates a record without a look.
	 * @param maxAgeMillis the age in milliseconds from which on keys are not trusted
	 */
	public ConfigurationFreshness(long maxAgeMillis) {
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Takes note of an answered look.
	 * @param nanos when the look was sent, on the monotonic clock
	 * @param epochMillis when the look was sent, on the wall clock
	 */
	public void looked(long nanos, long epochMillis) {
		if (!this.looked || nanos - this.sentNanos >= 0) {
			this.looked = true;
			this.sentNanos = nanos;
			this.sentEpochMillis = epochMillis;
		}
	}

	/**
	 * Returns the age of the last look.
	 * @param nowNanos the present time on the monotonic clock
	 * @param nowEpochMillis the present time on the wall clock
	 * @return the age in milliseconds
	 */
	public long ageMillis(long nowNanos, long nowEpochMillis) {
		if (!this.looked) {
			return Long.MAX_VALUE;
		}
		return Math.max((nowNanos - this.sentNanos) / NANOS_PER_MILLI, nowEpochMillis - this.sentEpochMillis);
	}

	/**
	 * Returns whether keys may be trusted.
	 * @param nowNanos the present time on the monotonic clock
	 * @param nowEpochMillis the present time on the wall clock
	 * @return whether the last look is recent enough
	 */
	public boolean fresh(long nowNanos, long nowEpochMillis) {
		return ageMillis(nowNanos, nowEpochMillis) < this.maxAgeMillis;
	}

}
