package org.skylarkstack.hedging;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * Limits the second attempts of this daemon to a share of its requests in a window, for
 * each service. The shares of all daemons add up to the same share of all requests, so
 * that daemons need not exchange messages.
 *
 * <p>
 * In a large fleet the share of a daemon in a window is a fraction of one second attempt:
 * 0.25 of five requests. In each window, a random part of the daemons as large as that
 * fraction may then send one, so that the sum over the fleet stays within the share.
 * Confined to one thread.
 */
public final class SecondAttemptBudget {

	private static final int WINDOW_SLOTS = 20;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double share;

	// A window that begins at any time overlaps with two of the windows for which the
	// part of the daemons is drawn.
	private static final double DRAWN_WINDOWS = 2;

	private final long slotNanos;

	private final @Nullable Long seed;

	private final Map<String, Window> services = new HashMap<>();

	/**
	 * Creates a budget without requests.
	 * @param share the second attempts as a share of the requests, 0 for none
	 * @param windowSeconds the length of the window in seconds
	 */
	public SecondAttemptBudget(double share, double windowSeconds) {
		this(share, windowSeconds, null);
	}

	/**
	 * Creates the budget of a daemon of a fleet.
	 * @param share the second attempts as a share of the requests, 0 for none
	 * @param windowSeconds the length of the window in seconds
	 * @param seed differs between the daemons of a fleet; {@code null} for a daemon whose
	 * share alone must hold in each window
	 */
	public SecondAttemptBudget(double share, double windowSeconds, @Nullable Long seed) {
		this.seed = seed;
		this.share = share;
		this.slotNanos = Math.max(1, (long) (windowSeconds * NANOS_PER_SECOND / WINDOW_SLOTS));
	}

	/**
	 * Returns whether the operators permit second attempts.
	 * @return whether the share is above 0
	 */
	public boolean isEnabled() {
		return this.share > 0;
	}

	/**
	 * Counts a request that may get a second attempt.
	 * @param service the name of its service
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordRequest(String service, long nowNanos) {
		Window window = window(service, nowNanos);
		window.requests[window.index()]++;
	}

	/**
	 * Counts a second attempt.
	 * @param service the name of its service
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordSecondAttempt(String service, long nowNanos) {
		Window window = window(service, nowNanos);
		window.secondAttempts[window.index()]++;
	}

	/**
	 * Returns whether the share permits another second attempt. The requests of the slot
	 * that the window begins in are left out and its second attempts are not, so that the
	 * limit holds for each window.
	 * @param service the name of the service
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether one may be sent
	 */
	public boolean permits(String service, long nowNanos) {
		Window window = window(service, nowNanos);
		long requests = 0;
		long secondAttempts = 0;
		for (int slot = 0; slot <= WINDOW_SLOTS; slot++) {
			secondAttempts += window.secondAttempts[slot];
			requests += (slot != window.oldestIndex()) ? window.requests[slot] : 0;
		}
		double allowed = this.share * requests;
		return secondAttempts + 1 <= allowed
				|| (secondAttempts == 0 && allowed < 1 && isDrawn(allowed / DRAWN_WINDOWS, nowNanos));
	}

	private boolean isDrawn(double probability, long nowNanos) {
		Long own = this.seed;
		if (own == null) {
			return false;
		}
		long window = Math.floorDiv(nowNanos, WINDOW_SLOTS * this.slotNanos);
		return new SplittableRandom(own + window).nextDouble() < probability;
	}

	private Window window(String service, long nowNanos) {
		Window window = this.services.computeIfAbsent(service, (name) -> new Window());
		window.advance(Math.floorDiv(nowNanos, this.slotNanos));
		return window;
	}

	/**
	 * Requests and second attempts of a service by time slot, with one slot more than the
	 * window has.
	 */
	private static final class Window {

		private final long[] requests = new long[WINDOW_SLOTS + 1];

		private final long[] secondAttempts = new long[WINDOW_SLOTS + 1];

		private long slot = Long.MIN_VALUE;

		int index() {
			return Math.floorMod(this.slot, WINDOW_SLOTS + 1);
		}

		int oldestIndex() {
			return Math.floorMod(this.slot + 1, WINDOW_SLOTS + 1);
		}

		void advance(long current) {
			if (this.slot == Long.MIN_VALUE) {
				this.slot = current;
			}
			long steps = Math.min(WINDOW_SLOTS + 1, current - this.slot);
			for (long step = 0; step < steps; step++) {
				int expired = Math.floorMod(current - step, WINDOW_SLOTS + 1);
				this.requests[expired] = 0;
				this.secondAttempts[expired] = 0;
			}
			this.slot = Math.max(this.slot, current);
		}

	}

}
