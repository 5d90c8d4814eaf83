package org.skylarkstack.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * Fault switches of a stand-in engine. Counted faults hit the next requests that come to
 * the place where they apply. May be changed at any time by any thread.
 */
public final class EngineFaults {

	private final Map<Counted, AtomicInteger> counted = new EnumMap<>(Counted.class);

	private volatile @Nullable String crashMarker;

	private volatile int restartMillis = 500;

	private volatile int lateMillis = 1_000;

	private volatile int faultAfterTokens = 3;

	private volatile boolean checkingFencing = true;

	private volatile boolean keepingAfterDisconnect;

	EngineFaults() {
		for (Counted fault : Counted.values()) {
			this.counted.put(fault, new AtomicInteger());
		}
	}

	/**
	 * Lets a fault hit the next requests.
	 * @param fault the fault
	 * @param times the number of requests; {@link Integer#MAX_VALUE} means all
	 */
	public void inject(Counted fault, int times) {
		counter(fault).set(times);
	}

	boolean consume(Counted fault) {
		return counter(fault).getAndUpdate(
				(remaining) -> (remaining > 0 && remaining < Integer.MAX_VALUE) ? remaining - 1 : remaining) > 0;
	}

	private AtomicInteger counter(Counted fault) {
		return java.util.Objects.requireNonNull(this.counted.get(fault));
	}

	/**
	 * Crashes the engine on each prompt that contains a marker.
	 * @param marker the marker, or {@code null} for none
	 */
	public void crashOn(@Nullable String marker) {
		this.crashMarker = marker;
	}

	boolean crashes(String prompt) {
		String marker = this.crashMarker;
		return marker != null && prompt.contains(marker);
	}

	/**
	 * Sets the time from a crash on a marked prompt to the restart.
	 * @param millis the time in milliseconds
	 */
	public void restartAfter(int millis) {
		this.restartMillis = millis;
	}

	int restartMillis() {
		return this.restartMillis;
	}

	/**
	 * Sets the delay of late answers.
	 * @param millis the delay in milliseconds
	 */
	public void lateBy(int millis) {
		this.lateMillis = millis;
	}

	int lateMillis() {
		return this.lateMillis;
	}

	/**
	 * Sets after how many tokens of a stream {@link Counted#TRUNCATED_STREAM} and
	 * {@link Counted#CROSSED_EVENT} apply.
	 * @param tokens the tokens sent before
	 */
	public void applyAfterTokens(int tokens) {
		this.faultAfterTokens = tokens;
	}

	int faultAfterTokens() {
		return this.faultAfterTokens;
	}

	/**
	 * Sets whether orders with an old fencing number are refused; otherwise the number is
	 * ignored.
	 * @param checking whether the number is checked
	 */
	public void checkFencing(boolean checking) {
		this.checkingFencing = checking;
	}

	boolean checksFencing() {
		return this.checkingFencing;
	}

	/**
	 * Sets whether a decode is kept when its connection breaks, as if the engine had not
	 * noticed.
	 * @param keeping whether it is kept until it is cancelled
	 */
	public void keepAfterDisconnect(boolean keeping) {
		this.keepingAfterDisconnect = keeping;
	}

	boolean keepsAfterDisconnect() {
		return this.keepingAfterDisconnect;
	}

	/**
	 * Fault that hits a number of requests.
	 */
	public enum Counted {

		/** The engine refuses with status 429 before it runs anything. */
		FULL,

		/** The connection is accepted and nothing is ever answered. */
		SILENT,

		/** The prefill never ends. */
		STALLED_PREFILL,

		/** The transfer of KV cache never ends. */
		STALLED_TRANSFER,

		/** The stream stops after its first token. */
		STALLED_STREAM,

		/** The answer is late. */
		LATE,

		/** The answer is that of another request. */
		CROSSED,

		/** An event of another request is written into the stream. */
		CROSSED_EVENT,

		/** The answer names a request id that was never sent. */
		WRONG_REQUEST_ID,

		/** The stream ends without its end marker. */
		TRUNCATED_STREAM,

		/** A cancel is confirmed and ignored. */
		IGNORED_CANCEL

	}

}
