package org.skylarkstack.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Holds back the bytes of an event stream until an event is whole, so that a stream that
 * breaks in the middle of an event can be resumed behind the last whole one.
 */
public final class EventBuffer {

	private static final String ID = "id:";

	private static final byte[] EMPTY = {};

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private @Nullable String lastEventId;

	private long eventCount;

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes
	 * @return the whole events that are ready, possibly none
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

	/** Drops an event that did not arrive whole. */
	public void discardPartial() {
		this.partial.reset();
	}

	/**
	 * Returns whether an event has arrived in part only.
	 * @return whether bytes are held back
	 */
	public boolean hasPartial() {
		return this.partial.size() > 0;
	}

	/**
	 * Returns the identifier of the last whole event.
	 * @return the identifier, or {@code null} if there was none
	 */
	public @Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of whole events.
	 * @return the number
	 */
	public long eventCount() {
		return this.eventCount;
	}

}
