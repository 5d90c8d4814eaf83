package org.skylarkstack.bench;

import java.io.IOException;

import okio.BufferedSource;
import org.HdrHistogram.Histogram;

/**
 * Reads a stream of server-sent events and notes when its tokens came.
 */
final class StreamTiming {

	private static final String DATA = "data: ";

	private static final String CONTENT = "\"content\":\"";

	private final Histogram gaps;

	private final StringBuilder text = new StringBuilder();

	private long firstTokenNanos;

	private long lastTokenNanos;

	private int tokens;

	private int lateGaps;

	private boolean ended;

	private boolean surplus;

	private String error = "";

	StreamTiming(Histogram gaps) {
		this.gaps = gaps;
	}

	void read(BufferedSource source) throws IOException {
		for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
			if (line.startsWith(DATA)) {
				event(line);
			}
		}
	}

	private void event(String line) {
		if (this.ended) {
			this.surplus = true;
		}
		else if (line.startsWith("[DONE]", DATA.length())) {
			this.ended = true;
		}
		else {
			int content = line.indexOf(CONTENT);
			if (content >= 0) {
				int start = content + CONTENT.length();
				this.text.append(line, start, line.indexOf('"', start));
				token(System.nanoTime());
			}
			else if (line.contains("\"error\"")) {
				this.error = errorName(line);
			}
		}
	}

	static String errorName(String json) {
		int name = json.indexOf("\"name\":\"");
		if (name < 0) {
			return "unknown";
		}
		int start = name + "\"name\":\"".length();
		return json.substring(start, json.indexOf('"', start));
	}

	private void token(long now) {
		if (this.tokens == 0) {
			this.firstTokenNanos = now;
		}
		else {
			long gap = now - this.lastTokenNanos;
			this.gaps.recordValue(Math.min(gap, this.gaps.getHighestTrackableValue()));
			this.lateGaps += (gap > Outcome.GAP_NANOS) ? 1 : 0;
		}
		this.lastTokenNanos = now;
		this.tokens++;
	}

	long firstTokenNanos() {
		return this.firstTokenNanos;
	}

	int tokens() {
		return this.tokens;
	}

	int lateGaps() {
		return this.lateGaps;
	}

	boolean ended() {
		return this.ended;
	}

	boolean surplus() {
		return this.surplus;
	}

	String error() {
		return this.error;
	}

	String text() {
		return this.text.toString();
	}

}
