package org.skylarkstack.edge;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConnectionLifetime} without a network.
 */
class ConnectionLifetimeTests {

	private static final EdgeLimits LIMITS = new EdgeLimits(1_000, 1_000, 100, 400);

	private static final EdgeLimits HIGHER = new EdgeLimits(2_000, 2_000, 200, 800);

	private EdgeLimits inForce = LIMITS;

	private final ConnectionLifetime lifetime = new ConnectionLifetime(() -> this.inForce, 0);

	private static long at(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void enter(Phase phase) {
		switch (phase) {
			case NEW -> {
			}
			case RECEIVING -> this.lifetime.inputDecoded(at(0));
			case HANDLING -> this.lifetime.handlingBegan();
			case HANDLING_AND_RECEIVING -> {
				this.lifetime.handlingBegan();
				this.lifetime.inputDecoded(at(0));
			}
			case IDLE -> answer(0);
			case UNREAD -> answer(5_000);
			case UNREAD_AND_RECEIVING -> {
				answer(5_000);
				this.lifetime.inputDecoded(at(0));
			}
			case INPUT_WAITS -> {
				this.lifetime.handlingBegan();
				this.lifetime.inputWaits(true);
			}
			case CLOSING -> {
				answer(5_000);
				this.lifetime.closingBegan(at(0));
			}
		}
	}

	private void answer(long unreadBytes) {
		this.lifetime.inputDecoded(at(0));
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
		assertThat(this.lifetime.expiry(acceptsInput, at(90))).isEqualTo(early);
		assertThat(this.lifetime.expiry(acceptsInput, at(390))).isEqualTo(later);
		assertThat(this.lifetime.expiry(acceptsInput, at(410))).isEqualTo(late);
		assertThat(this.lifetime.ending(false)).isEqualTo(atStop);
		assertThat(this.lifetime.ending(true)).isEqualTo(ConnectionLifetime.Ending.NONE);
	}

	/** Guards against cutting off a response that the caller reads. */
	@ParameterizedTest
	@CsvSource({ "UNREAD", "UNREAD_AND_RECEIVING", "CLOSING" })
	void readingExtendsTheTime(Phase phase) {
		enter(phase);
		this.lifetime.unread(4_000, at(350));
		assertThat(this.lifetime.expiry(false, at(740))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		this.lifetime.unread(0, at(740));
		assertThat(this.lifetime.expiry(false, at(1_130))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(false, at(1_150))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
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
		assertThat(this.lifetime.expiry(false, at(2_990))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(false, at(3_010))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
	}

	/** Guards against an idle connection that stays open until an earlier deadline. */
	@Test
	void aResponseThatHasBeenReadDoesNotKeepTheConnectionOpen() {
		this.lifetime.awaitedUntil(at(3_000));
		enter(Phase.UNREAD);
		this.lifetime.unread(0, at(100));
		assertThat(this.lifetime.expiry(true, at(510))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
	}

	/**
	 * Guards against a limit that is fixed when the connection is accepted, and against
	 * cutting off a caller who kept to the limits in force when its request or its idle
	 * time began.
	 */
	@ParameterizedTest
	@EnumSource
	void whatHasBegunKeepsTheHighestLimits(Phase phase) {
		enter(phase);
		this.inForce = HIGHER;
		assertThat(this.lifetime.limits()).isEqualTo(HIGHER);
		this.inForce = LIMITS;
		assertThat(this.lifetime.limits()).isEqualTo(HIGHER);
	}

	/** Guards against a lower limit that a connection in use never follows. */
	@ParameterizedTest
	@EnumSource
	void aLowerLimitAppliesToTheNextRequestAndTheNextIdleTime(Phase phase) {
		this.inForce = HIGHER;
		enter(phase);
		this.lifetime.limits();
		this.inForce = LIMITS;
		this.lifetime.requestReceived();
		this.lifetime.inputWaits(false);
		this.lifetime.inputDecoded(at(0));
		assertThat(this.lifetime.limits()).isEqualTo(LIMITS);
		this.inForce = HIGHER;
		this.lifetime.limits();
		this.inForce = LIMITS;
		this.lifetime.requestReceived();
		this.lifetime.handlingBegan();
		this.lifetime.handlingEnded(at(0));
		assertThat(this.lifetime.limits()).isEqualTo(LIMITS);
	}

	/** Guards against refusing a request that waited behind another one. */
	@Test
	void aRequestThatWaitedKeepsTheLimitsOfItsArrival() {
		this.inForce = HIGHER;
		enter(Phase.INPUT_WAITS);
		this.inForce = LIMITS;
		this.lifetime.handlingEnded(at(0));
		this.lifetime.inputDecoded(at(0));
		assertThat(this.lifetime.limits()).isEqualTo(HIGHER);
	}

	/** Guards against a timeout that is exceeded at the moment at which it is lowered. */
	@Test
	void aLowerTimeoutEndsNothingThatHasBegun() {
		this.inForce = HIGHER;
		enter(Phase.IDLE);
		this.inForce = LIMITS;
		assertThat(this.lifetime.expiry(true, at(790))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(true, at(810))).isEqualTo(ConnectionLifetime.Expiry.CONNECTION);
		this.inForce = HIGHER;
		this.lifetime.inputDecoded(at(1_000));
		this.inForce = LIMITS;
		assertThat(this.lifetime.expiry(true, at(1_190))).isEqualTo(ConnectionLifetime.Expiry.NONE);
		assertThat(this.lifetime.expiry(true, at(1_210))).isEqualTo(ConnectionLifetime.Expiry.REQUEST);
	}

	private enum Phase {

		NEW, RECEIVING, HANDLING, HANDLING_AND_RECEIVING, INPUT_WAITS, IDLE, UNREAD, UNREAD_AND_RECEIVING, CLOSING

	}

}
