package org.skylarkstack.edge;

import java.util.function.Supplier;

/**
 * Decides how long the connection of a caller may stay open, and which limits hold on it.
 *
 * <p>
 * A connection is idle only if no request is received or handled on it and its caller has
 * no response left to read. While a response is unread, the connection stays open as long
 * as its caller waits for the response, and after that as long as the caller reads. The
 * caller's reading is observed only when the socket takes further bytes, which it does in
 * large steps, so pauses before the caller's deadline do not count.
 *
 * <p>
 * A configuration may change the limits at any time. A higher limit applies immediately.
 * A lower one applies to the requests and the idle times that begin after it, so that
 * callers who kept to the limits are not cut off. Confined to one thread.
 */
final class ConnectionLifetime {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Supplier<EdgeLimits> inForce;

	// The highest limits since the present request or idle time began.
	private EdgeLimits limits;

	private boolean inputWaits;

	private boolean receiving;

	private long receivingSinceNanos;

	// When the time allowed for receiving the request began.
	private long timeoutSinceNanos;

	private boolean handling;

	private boolean closing;

	private long unreadBytes;

	private long unreadSinceNanos;

	private long awaitedUntilNanos;

	private long idleSinceNanos;

	/**
	 * Creates the state of a connection that has just been accepted.
	 * @param inForce supplies the limits in force
	 * @param nowNanos the present time, on the monotonic clock in nanoseconds like all
	 * times of this class
	 */
	ConnectionLifetime(Supplier<EdgeLimits> inForce, long nowNanos) {
		this.inForce = inForce;
		this.limits = inForce.get();
		this.unreadSinceNanos = nowNanos;
		this.awaitedUntilNanos = nowNanos;
		this.idleSinceNanos = nowNanos;
	}

	/**
	 * Returns the limits that hold for the request that is being received.
	 * @return the limits
	 */
	EdgeLimits limits() {
		EdgeLimits current = this.inForce.get();
		if (!current.equals(this.limits)) {
			this.limits = this.limits.max(current);
		}
		return this.limits;
	}

	private void resetLimits() {
		this.limits = this.inForce.get();
	}

	/**
	 * Records whether input has been received that is not decoded yet.
	 * @param waits whether there is any
	 */
	void inputWaits(boolean waits) {
		if (waits && !this.inputWaits && !this.receiving) {
			resetLimits();
		}
		this.inputWaits = waits;
	}

	/**
	 * Records that a part of a request is decoded.
	 * @param nowNanos the present time
	 */
	void inputDecoded(long nowNanos) {
		if (!this.receiving) {
			if (!this.inputWaits) {
				resetLimits();
			}
			this.receiving = true;
			this.receivingSinceNanos = nowNanos;
			this.timeoutSinceNanos = nowNanos;
		}
	}

	/** Records that a request has been received completely. */
	void requestReceived() {
		this.receiving = false;
	}

	/** Records that a request is being handled. */
	void handlingBegan() {
		this.handling = true;
	}

	/**
	 * Records how long the caller waits for the response to the request that is handled.
	 * @param deadlineNanos the end of that time
	 */
	void awaitedUntil(long deadlineNanos) {
		if (deadlineNanos - this.awaitedUntilNanos > 0) {
			this.awaitedUntilNanos = deadlineNanos;
		}
	}

	/**
	 * Records that the request has been handled. Its response may be unread.
	 * @param nowNanos the present time
	 */
	void handlingEnded(long nowNanos) {
		this.handling = false;
		if (!this.receiving && !this.inputWaits) {
			resetLimits();
		}
		this.idleSinceNanos = nowNanos;
		this.timeoutSinceNanos = nowNanos;
	}

	/**
	 * Records that responses can be written again, after which the input of the caller is
	 * decoded.
	 * @param nowNanos the present time
	 */
	void outputResumed(long nowNanos) {
		this.timeoutSinceNanos = nowNanos;
	}

	/**
	 * Records how much of the responses waits to be sent to the caller.
	 * @param bytes the size in bytes
	 * @param nowNanos the present time
	 */
	void unread(long bytes, long nowNanos) {
		if (bytes < this.unreadBytes || (this.unreadBytes == 0 && bytes > 0)) {
			this.unreadSinceNanos = nowNanos;
			this.idleSinceNanos = nowNanos;
		}
		this.unreadBytes = bytes;
	}

	/**
	 * Records that the connection closes after the responses that are unread.
	 * @param nowNanos the present time
	 */
	void closingBegan(long nowNanos) {
		this.closing = true;
		this.idleSinceNanos = nowNanos;
	}

	boolean isReceiving() {
		return this.receiving;
	}

	boolean isHandling() {
		return this.handling;
	}

	/**
	 * Returns when the first byte of the request was received.
	 * @return the time
	 */
	long receivingSinceNanos() {
		return this.receivingSinceNanos;
	}

	/**
	 * Returns since when the caller has read nothing of its responses.
	 * @return the time
	 */
	long unreadSinceNanos() {
		return this.unreadSinceNanos;
	}

	/**
	 * Returns since when the connection has been without a request and its caller has
	 * read nothing.
	 * @return the time
	 */
	long idleSinceNanos() {
		return this.idleSinceNanos;
	}

	/**
	 * Returns whether a response may still be on its way to the caller.
	 * @return whether closing the connection may cut off a response
	 */
	boolean isSendingLastBytes() {
		return this.closing || this.unreadBytes > 0;
	}

	/**
	 * Returns what a time limit requires.
	 * @param acceptsInput whether the input of the caller is decoded at present
	 * @param nowNanos the present time
	 * @return the consequence
	 */
	Expiry expiry(boolean acceptsInput, long nowNanos) {
		EdgeLimits current = limits();
		if (this.handling) {
			return Expiry.NONE;
		}
		if (this.receiving && acceptsInput) {
			return exceeds(this.timeoutSinceNanos, current.requestTimeoutMillis(), nowNanos) ? Expiry.REQUEST
					: Expiry.NONE;
		}
		if (this.unreadBytes > 0 && nowNanos - this.awaitedUntilNanos < 0) {
			return Expiry.NONE;
		}
		return exceeds(this.idleSinceNanos, current.idleTimeoutMillis(), nowNanos) ? Expiry.CONNECTION : Expiry.NONE;
	}

	private static boolean exceeds(long sinceNanos, long limitMillis, long nowNanos) {
		return nowNanos - sinceNanos > limitMillis * NANOS_PER_MILLI;
	}

	/**
	 * Returns how the connection ends if the listener closes those that are not in use.
	 * @param undecoded whether input has been received that is not decoded yet
	 * @return the way
	 */
	Ending ending(boolean undecoded) {
		if (this.handling || this.receiving || this.closing || undecoded) {
			return Ending.NONE;
		}
		return (this.unreadBytes > 0) ? Ending.AFTER_RESPONSE : Ending.IMMEDIATE;
	}

	/**
	 * Consequences of time limits.
	 */
	enum Expiry {

		/** No limit is exceeded. */
		NONE,

		/** The request has not arrived in time and is refused. */
		REQUEST,

		/** The connection has been idle for too long and is closed. */
		CONNECTION

	}

	/**
	 * Ways in which a connection ends that is not in use.
	 */
	enum Ending {

		/** It is in use, or ends already. */
		NONE,

		/** It closes when its caller has read the last response. */
		AFTER_RESPONSE,

		/** It closes now. */
		IMMEDIATE

	}

}
