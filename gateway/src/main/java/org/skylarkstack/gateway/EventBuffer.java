package org.skylarkstack.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Buffers the bytes of a server-sent event stream until an event is complete, so that a
 * stream that breaks within an event can be resumed after the last complete one.
 */
public final class EventBuffer {

	private static final String ID = "id:";

	private static final byte[] EMPTY = {};

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private @Nullable String lastEventId;

	private long eventCount;

	/**
	 * Appends bytes of the stream and removes the complete events from the buffer.
	 * @param bytes the bytes, which may begin and end anywhere in an event
	 * @return the complete events, empty if there are none
	 */
	public byte[] append(byte[] bytes) {
		this.partial.writeBytes(bytes);
		byte[] buffered = this.partial.toByteArray();
		int end = endOfCompleteEvents(buffered);
		if (end == 0) {
			return EMPTY;
		}
		this.partial.reset();
		this.partial.write(buffered, end, buffered.length - end);
		byte[] completeEvents = java.util.Arrays.copyOf(buffered, end);
		readIds(new String(completeEvents, StandardCharsets.UTF_8));
		return completeEvents;
	}

	private static int endOfCompleteEvents(byte[] buffered) {
		for (int index = buffered.length - 1; index > 0; index--) {
			if (buffered[index] == '\n' && (buffered[index - 1] == '\n'
					|| (index > 1 && buffered[index - 1] == '\r' && buffered[index - 2] == '\n'))) {
				return index + 1;
			}
		}
		return 0;
	}

	private void readIds(String completeEvents) {
		for (String line : completeEvents.split("\r?\n")) {
			if (line.startsWith(ID)) {
				this.lastEventId = line.substring(ID.length()).trim();
				this.eventCount++;
			}
		}
	}

	/** Discards the bytes of an incomplete event. */
	public void discardPartial() {
		this.partial.reset();
	}

	/**
	 * Returns whether the buffer holds part of an event.
	 * @return whether any bytes are buffered
	 */
	public boolean hasPartial() {
		return this.partial.size() > 0;
	}

	/**
	 * Returns the identifier of the last complete event.
	 * @return the identifier, or {@code null} if no event had one
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
