package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Queue of stream requests that wait for memory of a decode engine.
 *
 * <p>
 * A request that can still meet its target goes before one that is late, a more urgent
 * one before a less urgent one, an older one before a newer one. A request that fits
 * nowhere is overtaken by smaller ones only for a short time, so that large prompts do
 * not starve. A request leaves when its time to wait is over.
 *
 * <p>
 * Answers the load pattern of bursts beyond the memory of all engines: without it a
 * prompt is processed, its result refused by a full engine, and the work lost.
 */
final class StreamQueue {

	// How long a large request may be overtaken by smaller ones.
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
	 * Admits what has room and refuses what has waited long enough.
	 * @param findEngine finds an engine with room, or {@code null}
	 * @param nowNanos the present time
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
		boolean expired = nowNanos - stream.expiryNanos() >= 0;
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
