package org.skylarkstack.gateway;

import java.util.zip.CRC32C;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.CallerRequest;

/**
 * Admitted request and the decisions that its admission fixed.
 *
 * @param request the request
 * @param facts what the caller says about it
 * @param route its route
 * @param team the team that it runs for, or {@code null} on open routes
 * @param service the service that it goes to
 * @param version the version of the configuration that admitted it
 * @param arrivedNanos when it was whole
 */
public record ExchangeContext(CallerRequest request, RequestFacts facts, ServiceRoute route, @Nullable TeamPolicy team,
		ServicePolicy service, long version, long arrivedNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns when the caller must have its final answer.
	 * @return the time on the monotonic clock
	 */
	public long deadlineNanos() {
		long millis = this.route.timeoutMillis();
		if (this.facts.timeoutMillis() >= 0) {
			millis = Math.min(millis, this.facts.timeoutMillis());
		}
		return this.arrivedNanos + millis * NANOS_PER_MILLI;
	}

	/**
	 * Returns the time that is left.
	 * @param nowNanos the present time
	 * @return the time in milliseconds, at least 1
	 */
	public long remainingMillis(long nowNanos) {
		return Math.max(1, (deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Returns a number that requests with the same path, caller and body share.
	 * @return the fingerprint
	 */
	public long fingerprint() {
		CRC32C low = new CRC32C();
		low.update(this.request.body());
		int high = (this.request.method() + ' ' + this.request.target() + ' ' + this.facts.key()).hashCode();
		return ((long) high << Integer.SIZE) | low.getValue();
	}

	/**
	 * Returns the rank of the request.
	 * @return the rank, 0 being the most urgent
	 */
	public int priority() {
		TeamPolicy owner = this.team;
		Integer rank = (owner != null) ? owner.priority() : null;
		return (rank != null) ? rank : this.route.priority();
	}

	/**
	 * Returns the name of the team.
	 * @return the name, or {@code null} on open routes
	 */
	public @Nullable String teamName() {
		TeamPolicy owner = this.team;
		return (owner != null) ? owner.name() : null;
	}

}
