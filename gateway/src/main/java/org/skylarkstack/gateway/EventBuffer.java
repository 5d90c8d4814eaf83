package org.skylarkstack.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Buffers the bytes of a server-sent event stream until an event is complete, so that a
 * stream that breaks within an event can be resumed after the last complete one.
 */
public final class EventBuffer {

	private static final String ID = "id:";

	private static final byte[] EMPTY = {};

	// An event contains some tokens of text.
	private static final int MAX_EVENT_BYTES = 64 * 1024;

	private static final int INITIAL_BYTES = 256;

	// Number of buffered bytes that may be the beginning of the end of an event.
	private static final int MAX_SPLIT_END = 2;

	private byte[] partial = new byte[INITIAL_BYTES];

	private int partialBytes;

	private @Nullable String lastEventId;

	private long eventCount;

	/**
	 * Appends bytes of the stream and removes the complete events from the buffer.
	 * @param bytes the bytes, which may begin and end anywhere in an event
	 * @return the complete events, empty if there are none
	 */
	public byte[] append(byte[] bytes) {
		int scanned = Math.max(0, this.partialBytes - MAX_SPLIT_END);
		int size = this.partialBytes + bytes.length;
		if (size > this.partial.length) {
			this.partial = Arrays.copyOf(this.partial, Math.max(size, 2 * this.partial.length));
		}
		System.arraycopy(bytes, 0, this.partial, this.partialBytes, bytes.length);
		this.partialBytes = size;
		int end = endOfCompleteEvents(scanned);
		if (end == 0) {
			return EMPTY;
		}
		byte[] completeEvents = Arrays.copyOf(this.partial, end);
		System.arraycopy(this.partial, end, this.partial, 0, size - end);
		this.partialBytes = size - end;
		readIds(new String(completeEvents, StandardCharsets.ISO_8859_1));
		return completeEvents;
	}

	private int endOfCompleteEvents(int from) {
		byte[] buffered = this.partial;
		for (int index = this.partialBytes - 1; index > from; index--) {
			if (buffered[index] == '\n' && (buffered[index - 1] == '\n'
					|| (index > 1 && buffered[index - 1] == '\r' && buffered[index - 2] == '\n'))) {
				return index + 1;
			}
		}
		return 0;
	}

	private void readIds(String completeEvents) {
		for (String line : completeEvents.split("\r\n|[\r\n]")) {
			if (line.startsWith(ID)) {
				this.lastEventId = line.substring(ID.length()).trim();
				this.eventCount++;
			}
		}
	}

	/** Discards the bytes of an incomplete event. */
	public void discardPartial() {
		this.partialBytes = 0;
	}

	/**
	 * Returns whether the buffer holds part of an event.
	 * @return whether any bytes are buffered
	 */
	public boolean hasPartial() {
		return this.partialBytes > 0;
	}

	/**
	 * Returns whether the incomplete event is longer than an event may be.
	 * @return whether the stream must be given up
	 */
	public boolean isOversized() {
		return this.partialBytes > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the identifier of the last complete event in the form that headers have.
	 * @return the identifier with one character for each byte, or {@code null} if no
	 * event had one
	 */
	public @Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of complete events that have an identifier.
	 * @return the number since the stream began
	 */
	public long eventCount() {
		return this.eventCount;
	}

}
