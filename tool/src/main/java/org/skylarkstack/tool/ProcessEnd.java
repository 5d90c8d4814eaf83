package org.skylarkstack.tool;

import java.util.concurrent.CountDownLatch;

/**
 * Waits for the end of the process.
 */
final class ProcessEnd {

	private ProcessEnd() {
	}

	/** Waits until the thread is interrupted or the process ends. */
	static void await() {
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
