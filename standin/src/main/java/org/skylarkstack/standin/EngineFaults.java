package org.skylarkstack.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * Fault injection of a stand-in engine. A counted fault applies to the next requests that
 * reach the stage where it takes effect. Thread-safe; settings may change at any time.
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
	 * Injects a fault into the next requests. Replaces the remaining count of that fault.
	 * @param fault the fault
	 * @param times the number of requests; {@link Integer#MAX_VALUE} means all
	 */
	public void inject(Counted fault, int times) {
		counter(fault).set(times);
	}

	/**
	 * Returns whether a fault applies to the current request, and decrements its count
	 * unless the fault applies to all requests.
	 * @param fault the fault
	 * @return whether the fault applies
	 */
	boolean consume(Counted fault) {
		return counter(fault).getAndUpdate(
				(remaining) -> (remaining > 0 && remaining < Integer.MAX_VALUE) ? remaining - 1 : remaining) > 0;
	}

	private AtomicInteger counter(Counted fault) {
		return java.util.Objects.requireNonNull(this.counted.get(fault));
	}

	/**
	 * Crashes the engine on each prompt that contains a marker.
	 * @param marker the marker, or {@code null} to stop crashing
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
	 * Sets the delay of the responses that {@link Counted#LATE} applies to.
	 * @param millis the delay in milliseconds
	 */
	public void lateBy(int millis) {
		this.lateMillis = millis;
	}

	int lateMillis() {
		return this.lateMillis;
	}

	/**
	 * Sets the number of tokens in a stream after which {@link Counted#TRUNCATED_STREAM}
	 * and {@link Counted#CROSSED_EVENT} apply.
	 * @param tokens the number of tokens sent before the fault
	 */
	public void applyAfterTokens(int tokens) {
		this.faultAfterTokens = tokens;
	}

	int faultAfterTokens() {
		return this.faultAfterTokens;
	}

	/**
	 * Sets whether orders with an outdated fencing number are rejected. If not, fencing
	 * numbers are ignored.
	 * @param checking whether fencing numbers are checked
	 */
	public void checkFencing(boolean checking) {
		this.checkingFencing = checking;
	}

	boolean checksFencing() {
		return this.checkingFencing;
	}

	/**
	 * Sets whether a decode continues after its connection broke, as in an engine that
	 * does not detect the disconnect.
	 * @param keeping whether the decode stays until it is cancelled
	 */
	public void keepAfterDisconnect(boolean keeping) {
		this.keepingAfterDisconnect = keeping;
	}

	boolean keepsAfterDisconnect() {
		return this.keepingAfterDisconnect;
	}

	/**
	 * Fault that applies to a given number of requests.
	 */
	public enum Counted {

		/** The engine rejects the request with status 429 before it does any work. */
		FULL,

		/** The engine reads the request and never responds. */
		SILENT,

		/** The prefill never ends. */
		STALLED_PREFILL,

		/** The transfer of KV cache never ends. */
		STALLED_TRANSFER,

		/** The stream stalls after its first token. */
		STALLED_STREAM,

		/** The response is delayed. */
		LATE,

		/** The response belongs to another request. */
		CROSSED,

		/** The stream contains an event of another request. */
		CROSSED_EVENT,

		/** The response has a request id that was never sent. */
		WRONG_REQUEST_ID,

		/** The stream ends without its end marker. */
		TRUNCATED_STREAM,

		/** A cancellation is acknowledged but has no effect. */
		IGNORED_CANCEL

	}

}
