package org.skylarkstack.tool;

import java.util.concurrent.CountDownLatch;

/**
 * Blocks a command until the process ends.
 */
final class ProcessEnd {

	private ProcessEnd() {
	}

	/** Waits until the calling thread is interrupted or the process ends. */
	static void await() {
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
