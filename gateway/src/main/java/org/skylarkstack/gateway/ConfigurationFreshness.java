package org.skylarkstack.gateway;

/**
 * Tracks the age of the last complete read of the configuration.
 *
 * <p>
 * A read includes every key withdrawal that was confirmed before the read was sent. The
 * monotonic clock stops while a VM is suspended and the wall clock may jump, so the
 * larger of both ages counts: the configuration is stale after the VM was suspended, and
 * a jump of the wall clock costs no more than another read. A recent read does not help
 * if the store has lost newer versions; see {@link ConfigurationVersions}.
 */
public final class ConfigurationFreshness {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long maxAgeMillis;

	private final ConfigurationVersions versions;

	private boolean everRead;

	private long sentNanos;

	private long sentEpochMillis;

	/**
	 * Creates a tracker without any recorded read.
	 * @param maxAgeMillis the age in milliseconds from which keys are no longer accepted
	 * @param versions the version in force and those of peers
	 */
	public ConfigurationFreshness(long maxAgeMillis, ConfigurationVersions versions) {
		this.maxAgeMillis = maxAgeMillis;
		this.versions = versions;
	}

	/**
	 * Records a successful read. A read that was sent before the latest one is ignored.
	 * @param nanos when the read was sent, as monotonic time in nanoseconds
	 * @param epochMillis when the read was sent, on the wall clock in milliseconds since
	 * the epoch
	 */
	public void recordRead(long nanos, long epochMillis) {
		if (!this.everRead || nanos - this.sentNanos >= 0) {
			this.everRead = true;
			this.sentNanos = nanos;
			this.sentEpochMillis = epochMillis;
		}
	}

	/**
	 * Returns the time since the last successful read was sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param nowEpochMillis the current wall-clock time in milliseconds since the epoch
	 * @return the age in milliseconds, or {@link Long#MAX_VALUE} before the first read
	 */
	public long ageMillis(long nowNanos, long nowEpochMillis) {
		if (!this.everRead) {
			return Long.MAX_VALUE;
		}
		return Math.max((nowNanos - this.sentNanos) / NANOS_PER_MILLI, nowEpochMillis - this.sentEpochMillis);
	}

	/**
	 * Returns whether the last read is recent enough for keys to be accepted.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param nowEpochMillis the current wall-clock time in milliseconds since the epoch
	 * @return whether the age is below the maximum, and no newer version may exist that
	 * the store has lost
	 */
	public boolean fresh(long nowNanos, long nowEpochMillis) {
		return ageMillis(nowNanos, nowEpochMillis) < this.maxAgeMillis && !this.versions.mayBeOutdated(nowNanos);
	}

}
