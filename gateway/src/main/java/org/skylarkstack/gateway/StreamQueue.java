package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Queue of stream requests that wait for memory at a decode engine.
 *
 * <p>
 * Requests that can still meet their latency target precede late ones; within both groups
 * the order is by priority, then by arrival. A request that fits at no engine and is not
 * late may be overtaken only for a short time, so that large prompts do not starve. A
 * request is refused when its waiting time expires.
 *
 * <p>
 * The queue absorbs bursts that exceed the memory of all engines. Without it, prompts are
 * processed whose results a full decode engine then refuses, and the work is lost.
 */
final class StreamQueue {

	// How long smaller requests may overtake one that fits at no engine.
	private static final long MAX_OVERTAKEN_NANOS = 300_000_000L;

	private final List<WaitingStream> waiting = new ArrayList<>();

	void add(WaitingStream stream) {
		this.waiting.add(stream);
	}

	void remove(WaitingStream stream) {
		this.waiting.remove(stream);
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Admits the requests that fit at an engine and refuses those that have expired.
	 * @param findEngine returns an engine with enough free memory for a request, or
	 * {@code null} if there is none
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void advance(Function<WaitingStream, @Nullable BackendState> findEngine, long nowNanos) {
		List<WaitingStream> order = ordered(nowNanos);
		order.removeIf((stream) -> refuseExpired(stream, nowNanos));
		for (WaitingStream stream : order) {
			BackendState engine = findEngine.apply(stream);
			if (engine != null) {
				this.waiting.remove(stream);
				stream.admit(engine);
			}
			else if (nowNanos - stream.arrivedNanos() > MAX_OVERTAKEN_NANOS
					&& nowNanos - stream.admissionTargetNanos() < 0) {
				return;
			}
		}
	}

	private boolean refuseExpired(WaitingStream stream, long nowNanos) {
		boolean expired = stream.isExpired(nowNanos);
		if (expired) {
			this.waiting.remove(stream);
			stream.refuse();
		}
		return expired;
	}

	private List<WaitingStream> ordered(long nowNanos) {
		List<WaitingStream> order = new ArrayList<>(this.waiting);
		order.sort(Comparator.comparing((WaitingStream stream) -> nowNanos - stream.admissionTargetNanos() >= 0)
			.thenComparingInt(WaitingStream::priority)
			.thenComparing((first, second) -> Long.signum(first.arrivedNanos() - second.arrivedNanos())));
		return order;
	}

}
