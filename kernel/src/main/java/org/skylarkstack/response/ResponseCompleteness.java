package org.skylarkstack.response;

/**
 * Decides whether a response is complete when its input has ended. A response that ends
 * too early must not look complete to its caller.
 *
 * <p>
 * A body with a length or chunks has its own end, which the HTTP client checks. A body
 * with neither ends with its connection, so that it is complete only if the request has
 * been sent completely and neither a read nor a write has failed before: a failed write
 * may take the error from the socket, and the next read then reports the end of the
 * input.
 *
 * <p>
 * A stream of server-sent events also ends with a complete event, whatever its framing: a
 * server that fails may end its chunks or its connection normally. If it has neither a
 * length nor chunks, it contains at least one event.
 */
public final class ResponseCompleteness {

	private static final String EVENT_STREAM = "text/event-stream";

	private final boolean framed;

	private final boolean events;

	private boolean lineEmpty = true;

	private boolean insideEvent;

	private boolean eventSeen;

	/**
	 * Creates the state of a response whose head has been received.
	 * @param framed whether the body has a length or chunks, or cannot exist
	 * @param events whether the body is a stream of server-sent events
	 */
	public ResponseCompleteness(boolean framed, boolean events) {
		this.framed = framed;
		this.events = events;
	}

	/**
	 * Returns whether a content type is that of server-sent events.
	 * @param contentType the header as received, possibly with parameters
	 * @return whether the body is a stream of events
	 */
	public static boolean isEventStream(String contentType) {
		return contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
	}

	/**
	 * Adds bytes of the body. Has no effect on a body without events.
	 * @param bytes contains the bytes
	 * @param offset the position of the first
	 * @param length their number
	 */
	public void append(byte[] bytes, int offset, int length) {
		if (!this.events) {
			return;
		}
		for (int index = offset; index < offset + length; index++) {
			if (bytes[index] == '\n') {
				if (this.lineEmpty) {
					this.eventSeen |= this.insideEvent;
					this.insideEvent = false;
				}
				this.lineEmpty = true;
			}
			else if (bytes[index] != '\r') {
				this.lineEmpty = false;
				this.insideEvent = true;
			}
		}
	}

	/**
	 * Returns whether the response is complete.
	 * @param connectionFailed whether a read or a write of the connection has failed, it
	 * was closed without the end of the input, or the request was not sent completely
	 * @return whether the response may be passed on as complete
	 */
	public boolean isComplete(boolean connectionFailed) {
		if (!this.framed && (connectionFailed || (this.events && !this.eventSeen))) {
			return false;
		}
		return !this.insideEvent;
	}

}
