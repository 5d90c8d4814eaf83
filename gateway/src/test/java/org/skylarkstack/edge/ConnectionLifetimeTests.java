package org.skylarkstack.edge;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConnectionLifetime} without a network.
 */
class ConnectionLifetimeTests {

	private static final EdgeLimits LIMITS = new EdgeLimits(1_000, 1_000, 100, 400);

	private final ConnectionLifetime lifetime = new ConnectionLifetime(0);

	private static long at(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void enter(Phase phase) {
		switch (phase) {
			case NEW -> {
			}
			case RECEIVING -> this.lifetime.inputReceived(at(0));
			case HANDLING -> this.lifetime.handlingBegan();
			case HANDLING_AND_RECEIVING -> {
				this.lifetime.handlingBegan();
				this.lifetime.inputReceived(at(0));
			}
			case IDLE -> answer(0);
			case UNREAD -> answer(5_000);
			case UNREAD_AND_RECEIVING -> {
				answer(5_000);
				this.lifetime.inputReceived(at(0));
			}
			case CLOSING -> {
				answer(5_000);
				this.lifetime.closingBegan(at(0));
			}
		}
	}

	private void answer(long unreadBytes) {
		this.lifetime.inputReceived(at(0));
		this.lifetime.requestReceived();
		this.lifetime.handlingBegan();
		this.lifetime.unread(unreadBytes, at(0));
		this.lifetime.handlingEnded(at(0));
	}

	/** Guards against a connection that one of the paths to its end takes for idle. */
	@ParameterizedTest
	@CsvSource(textBlock = """
			# phase,                input decoded, at 90 ms, at 390 ms,  at 410 ms,  at a stop
			NEW,                    true,          NONE,     NONE,       CONNECTION, IMMEDIATE
			RECEIVING,              true,          NONE,     REQUEST,    REQUEST,    NONE
			RECEIVING,              false,         NONE,     NONE,       CONNECTION, NONE
			HANDLING,               true,          NONE,     NONE,       NONE,       NONE
			HANDLING_AND_RECEIVING, true,          NONE,     NONE,       NONE,       NONE
			IDLE,                   true,          NONE,     NONE,       CONNECTION, IMMEDIATE
			UNREAD,                 false,         NONE,     NONE,       CONNECTION, AFTER_RESPONSE
			UNREAD,                 true,          NONE,     NONE,       CONNECTION, AFTER_RESPONSE
			UNREAD_AND_RECEIVING,   false,         NONE,     NONE,       CONNECTION, NONE
			UNREAD_AND_RECEIVING,   true,          NONE,     REQUEST,    REQUEST,    NONE
			CLOSING,                false,         NONE,     NONE,       CONNECTION, NONE
			""")
	void eachPhaseHasItsLimits(Phase phase, boolean acceptsInput, ConnectionLifetime.Expiry early,
			ConnectionLifetime.Expiry later, ConnectionLifetime.Expiry late, ConnectionLifetime.Ending atStop) {
		enter(phase);
		assertThat(this.lifetime.expiry(LIMITS, acceptsInput, at(90))).isEqualTo(early);
		assertThat(this.lifetime.expiry(LIMITS, acceptsInput, at(390))).isEqualTo(later);
		assertThat(this.lifetime.expiry(LIMITS, acceptsInput, at(410))).isEqualTo(late);
		assertThat(this.lifetime.ending(false)).isEqualTo(atStop);
		assertThat(this.lifetime.ending(true)).isEqualTo(ConnectionLifetime.Ending.NONE);
	}

	/** Guards against cutting off a response that the caller reads. */
	@ParameterizedTest
	@CsvSource({ "UNREAD", "UNREAD_AND_RECEIVING", "CLOSING" })
	void readingExtendsTheTime(Phase phase) {
		enter(phase);
		this.lifetime.unread(4_000, at(350));
		assertThat(this.lifetime.expiry(LIMITS, false, at(740))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		this.lifetime.unread(0, at(740));
		assertThat(this.lifetime.expiry(LIMITS, false, at(1_130))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(LIMITS, false, at(1_150))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
	}

	/**
	 * Guards against cutting off a response whose caller still waits for it, and against
	 * keeping a connection for a caller that reads nothing after that.
	 */
	@ParameterizedTest
	@CsvSource({ "UNREAD", "UNREAD_AND_RECEIVING", "CLOSING" })
	void aResponseIsKeptWhileItsCallerWaits(Phase phase) {
		this.lifetime.awaitedUntil(at(3_000));
		this.lifetime.awaitedUntil(at(2_000));
		enter(phase);
		assertThat(this.lifetime.expiry(LIMITS, false, at(2_990))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(LIMITS, false, at(3_010))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
	}

	/** Guards against an idle connection that stays open until an earlier deadline. */
	@Test
	void aResponseThatHasBeenReadDoesNotKeepTheConnectionOpen() {
		this.lifetime.awaitedUntil(at(3_000));
		enter(Phase.UNREAD);
		this.lifetime.unread(0, at(100));
		assertThat(this.lifetime.expiry(LIMITS, true, at(510))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
	}

	private enum Phase {

		NEW, RECEIVING, HANDLING, HANDLING_AND_RECEIVING, IDLE, UNREAD, UNREAD_AND_RECEIVING, CLOSING

	}

}
