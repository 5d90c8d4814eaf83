package org.skylarkstack.edge;

/**
 * Decides how long the connection of a caller may stay open.
 *
 * <p>
 * A connection is idle only if no request is received or handled on it and its caller has
 * no response left to read. While a response is unread, the connection stays open as long
 * as its caller waits for the response, and after that as long as the caller reads. The
 * caller's reading is observed only when the socket takes further bytes, which it does in
 * large steps, so pauses before the caller's deadline do not count. Confined to one
 * thread.
 */
final class ConnectionLifetime {

	private static final long NANOS_PER_MILLI = 1_000_000;

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
	 * @param nowNanos the present time, on the monotonic clock in nanoseconds like all
	 * times of this class
	 */
	ConnectionLifetime(long nowNanos) {
		this.unreadSinceNanos = nowNanos;
		this.awaitedUntilNanos = nowNanos;
		this.idleSinceNanos = nowNanos;
	}

	/**
	 * Records that a part of a request has been received.
	 * @param nowNanos the present time
	 */
	void inputReceived(long nowNanos) {
		if (!this.receiving) {
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
	 * @param limits the limits in force
	 * @param acceptsInput whether the input of the caller is decoded at present
	 * @param nowNanos the present time
	 * @return the consequence
	 */
	Expiry expiry(EdgeLimits limits, boolean acceptsInput, long nowNanos) {
		if (this.handling) {
			return Expiry.NONE;
		}
		if (this.receiving && acceptsInput) {
			return exceeds(this.timeoutSinceNanos, limits.requestTimeoutMillis(), nowNanos) ? Expiry.REQUEST
					: Expiry.NONE;
		}
		if (this.unreadBytes > 0 && nowNanos - this.awaitedUntilNanos < 0) {
			return Expiry.NONE;
		}
		return exceeds(this.idleSinceNanos, limits.idleTimeoutMillis(), nowNanos) ? Expiry.CONNECTION : Expiry.NONE;
	}

	private static boolean exceeds(long sinceNanos, long limitMillis, long nowNanos) {
		return nowNanos - sinceNanos > limitMillis * NANOS_PER_MILLI;
	}

	/**
	 * Returns how the connection ends if the listener closes those that are not in use.
	 * @param inputWaits whether input has been received that is not decoded yet
	 * @return the way
	 */
	Ending ending(boolean inputWaits) {
		if (this.handling || this.receiving || this.closing || inputWaits) {
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
