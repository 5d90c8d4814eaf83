package org.skylarkstack.kernel;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Duty}.
 */
class DutyTests {

	/**
	 * Guards against a message that overflows the stack of its handler and ends the
	 * thread, so that no later message is handled.
	 */
	@Test
	void aMessageThatOverflowsTheStackDoesNotEndTheThread() throws Exception {
		BlockingQueue<String> handled = new LinkedBlockingQueue<>();
		try (Duty<String> duty = new Duty<>("test", 16, Duration.ofSeconds(1), (message) -> {
			if ("deep".equals(message)) {
				throw new StackOverflowError();
			}
			handled.add(message);
		}, () -> {
		})) {
			duty.start();
			duty.offer("deep");
			duty.offer("sound");
			assertThat(handled.poll(10, TimeUnit.SECONDS)).isEqualTo("sound");
		}
	}

}
