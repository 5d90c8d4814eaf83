package org.skylarkstack.request;

import org.skylarkstack.misc.TimeSource;

/**
 * Clock that only advances when a test advances it.
 */
final class FakeTime implements TimeSource {

	private long nanos = 1_000_000_000_000L;

	void advanceMillis(long millis) {
		this.nanos += millis * 1_000_000;
	}

	@Override
	public long nanos() {
		return this.nanos;
	}

	@Override
	public long epochMillis() {
		return this.nanos / 1_000_000;
	}

}
