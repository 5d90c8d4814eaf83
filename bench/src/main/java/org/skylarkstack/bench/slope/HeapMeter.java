package org.skylarkstack.bench.slope;

import java.lang.management.ManagementFactory;

/**
 * Measures the heap that is in use after garbage collection.
 */
final class HeapMeter {

	private static final int COLLECTIONS = 3;

	private HeapMeter() {
	}

	static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
