package org.skylarkstack.request;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Most recent values of a quantity. Thread-safe.
 */
final class RecentValues {

	private static final int MAX_VALUES = 64;

	private final long[] values = new long[MAX_VALUES];

	private long recorded;

	synchronized void record(long value) {
		this.values[(int) (this.recorded % MAX_VALUES)] = value;
		this.recorded++;
	}

	/**
	 * Returns a quantile of the values.
	 * @param share the share of the values that are at most as large, from 0 to 1
	 * @return the quantile, or empty if no value was recorded
	 */
	synchronized OptionalLong quantile(double share) {
		int count = (int) Math.min(this.recorded, MAX_VALUES);
		if (count == 0) {
			return OptionalLong.empty();
		}
		long[] sorted = Arrays.copyOf(this.values, count);
		Arrays.sort(sorted);
		return OptionalLong.of(sorted[(int) Math.ceil(share * count) - 1]);
	}

}
