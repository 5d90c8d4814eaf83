package org.skylarkstack.misc;

/**
 * Clock for the periodic tasks of a daemon. Functions that make decisions take the time
 * as an argument instead of reading the clock.
 */
public interface TimeSource {

	/**
	 * Returns the monotonic time.
	 * @return nanoseconds from an arbitrary origin
	 */
	long nanos();

	/**
	 * Returns the wall-clock time, for display and logs only.
	 * @return milliseconds since the epoch
	 */
	long epochMillis();

	/**
	 * Returns the time source of this process.
	 * @return the system time source
	 */
	static TimeSource system() {
		return SystemTimeSource.INSTANCE;
	}

}
