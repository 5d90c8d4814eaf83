package org.skylarkstack.misc;

/**
 * Time source backed by the JDK's clocks.
 */
enum SystemTimeSource implements TimeSource {

	/** The single instance. */
	INSTANCE;

	@Override
	public long nanos() {
		return System.nanoTime();
	}

	@Override
	public long epochMillis() {
		return System.currentTimeMillis();
	}

}
