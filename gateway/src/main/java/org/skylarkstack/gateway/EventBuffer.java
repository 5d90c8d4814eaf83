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

	private static final byte[] NOTHING = {};

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private @Nullable String lastEventId;

	private long events;

	/**
	 * Takes bytes of the stream.
	 * @param part the bytes
	 * @return the whole events that are ready, possibly none
	 */
	public byte[] take(byte[] part) {
		this.partial.writeBytes(part);
		byte[] held = this.partial.toByteArray();
		int end = endOfWholeEvents(held);
		if (end == 0) {
			return NOTHING;
		}
		this.partial.reset();
		this.partial.write(held, end, held.length - end);
		byte[] whole = java.util.Arrays.copyOf(held, end);
		readIds(new String(whole, StandardCharsets.UTF_8));
		return whole;
	}

	private static int endOfWholeEvents(byte[] held) {
		for (int at = held.length - 1; at > 0; at--) {
			if (held[at] == '\n'
					&& (held[at - 1] == '\n' || (at > 1 && held[at - 1] == '\r' && held[at - 2] == '\n'))) {
				return at + 1;
			}
		}
		return 0;
	}

	private void readIds(String whole) {
		for (String line : whole.split("\r?\n")) {
			if (line.startsWith(ID)) {
				this.lastEventId = line.substring(ID.length()).trim();
				this.events++;
			}
		}
	}

	/** Drops an event that did not arrive whole. */
	public void dropPartial() {
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
	public long events() {
		return this.events;
	}

}
