package org.skylarkstack.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link EventBuffer}.
 */
class EventBufferTests {

	private final EventBuffer buffer = new EventBuffer();

	private String append(String part) {
		return new String(this.buffer.append(part.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
	}

	/**
	 * Guards against an incomplete event that reaches the caller when an engine crashes
	 * while sending it.
	 */
	@Test
	void buffersAnEventUntilItIsComplete() {
		assertThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.buffer.hasPartial()).isTrue();
		assertThat(this.buffer.lastEventId()).isEqualTo("1");
		assertThat(append("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(this.buffer.hasPartial()).isFalse();
		assertThat(this.buffer.lastEventId()).isEqualTo("2");
	}

	/**
	 * Guards against the beginning of an incomplete event that is left in front of the
	 * resumed stream.
	 */
	@Test
	void aDiscardedPartialEventDoesNotReappear() {
		append("id: 1\ndata: a\n\nid: 2\nda");
		this.buffer.discardPartial();
		assertThat(append("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(this.buffer.eventCount()).isEqualTo(2);
	}

	/**
	 * Guards against a stream that is resumed after another event, because the header
	 * encoder writes letters above U+00FF as question marks.
	 */
	@Test
	void anIdentifierKeepsTheBytesOfTheEvent() {
		append("id: \u017d7\ndata: a\n\n");
		assertThat(this.buffer.lastEventId()).isEqualTo("\u00c5\u00bd7");
	}

	/**
	 * Guards against the end of an event that is missed because a line ending is split
	 * between two reads.
	 */
	@Test
	void aLineEndingSplitBetweenReadsEndsTheEvent() {
		StringBuilder out = new StringBuilder();
		for (char c : "id: 7\r\ndata: x\r\n\r\n".toCharArray()) {
			out.append(append(String.valueOf(c)));
		}
		assertThat(out.toString()).isEqualTo("id: 7\r\ndata: x\r\n\r\n");
		assertThat(this.buffer.lastEventId()).isEqualTo("7");
	}

	/**
	 * Guards against an identifier that adds a header to the request that resumes the
	 * stream.
	 */
	@Test
	void anIdentifierEndsAtACarriageReturn() {
		EventBuffer buffer = new EventBuffer();
		buffer.append("id: 5\rX-Other: x\ndata: y\n\n".getBytes(StandardCharsets.UTF_8));
		assertThat(buffer.lastEventId()).isEqualTo("5");
	}

}
