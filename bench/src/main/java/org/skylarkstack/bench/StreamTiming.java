package org.skylarkstack.bench;

import java.io.IOException;

import okio.BufferedSource;
import org.HdrHistogram.Histogram;

/**
 * Reads a completion as server-sent events and records its text, its token times and how
 * it ended.
 */
final class StreamTiming {

	private static final String DATA_PREFIX = "data: ";

	private static final String CONTENT_PREFIX = "\"content\":\"";

	private final Histogram gaps;

	private final StringBuilder text = new StringBuilder();

	private long firstTokenNanos;

	private long lastTokenNanos;

	private int tokens;

	private int lateGaps;

	private boolean endMarkerReceived;

	private boolean dataAfterEnd;

	private String error = "";

	StreamTiming(Histogram gaps) {
		this.gaps = gaps;
	}

	void read(BufferedSource source) throws IOException {
		for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
			if (line.startsWith(DATA_PREFIX)) {
				readEvent(line);
			}
		}
	}

	private void readEvent(String line) {
		if (this.endMarkerReceived) {
			this.dataAfterEnd = true;
		}
		else if (line.startsWith("[DONE]", DATA_PREFIX.length())) {
			this.endMarkerReceived = true;
		}
		else {
			int content = line.indexOf(CONTENT_PREFIX);
			if (content >= 0) {
				int start = content + CONTENT_PREFIX.length();
				this.text.append(line, start, line.indexOf('"', start));
				recordToken(System.nanoTime());
			}
			else if (line.contains("\"error\"")) {
				this.error = errorName(line);
			}
		}
	}

	static String errorName(String json) {
		int nameField = json.indexOf("\"name\":\"");
		if (nameField < 0) {
			return "unknown";
		}
		int start = nameField + "\"name\":\"".length();
		return json.substring(start, json.indexOf('"', start));
	}

	private void recordToken(long now) {
		if (this.tokens == 0) {
			this.firstTokenNanos = now;
		}
		else {
			long gap = now - this.lastTokenNanos;
			this.gaps.recordValue(Math.min(gap, this.gaps.getHighestTrackableValue()));
			this.lateGaps += (gap > Outcome.TOKEN_GAP_TARGET_NANOS) ? 1 : 0;
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

	boolean endMarkerReceived() {
		return this.endMarkerReceived;
	}

	boolean dataAfterEnd() {
		return this.dataAfterEnd;
	}

	String error() {
		return this.error;
	}

	String text() {
		return this.text.toString();
	}

}
