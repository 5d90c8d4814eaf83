package org.skylarkstack.gateway;

import java.util.List;
import java.util.zip.CRC32C;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.CallerRequest;

/**
 * An admitted request with the route, team and service that were determined at admission.
 *
 * @param request the request as received
 * @param facts the properties that its caller states
 * @param route the route that matched
 * @param team the team that it runs for, or {@code null} on routes that need no key
 * @param service the service that it goes to
 * @param priority the priority at the service, 0 being the most urgent
 * @param version the version of the configuration that admitted it
 * @param arrivedNanos when the request was completely received, on the monotonic clock in
 * nanoseconds
 */
public record ExchangeContext(CallerRequest request, RequestFacts facts, ServiceRoute route, @Nullable TeamPolicy team,
		ServicePolicy service, int priority, long version, long arrivedNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns the deadline for the complete response: the timeout of the route, or that
	 * of the caller if it is shorter.
	 * @return the deadline on the monotonic clock in nanoseconds
	 */
	public long deadlineNanos() {
		long millis = this.route.timeoutMillis();
		if (this.facts.timeoutMillis() >= 0) {
			millis = Math.min(millis, this.facts.timeoutMillis());
		}
		return this.arrivedNanos + millis * NANOS_PER_MILLI;
	}

	/**
	 * Returns the time until the deadline.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in milliseconds, at least 1
	 */
	public long remainingMillis(long nowNanos) {
		return Math.max(1, (deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Returns a hash of the method, target, key and body. Requests that repeat these have
	 * the same fingerprint.
	 * @return the fingerprint
	 */
	public String fingerprint() {
		CRC32C low = new CRC32C();
		low.update(this.request.body());
		int high = (this.request.method() + ' ' + this.request.target() + ' ' + this.facts.key()).hashCode();
		return Long.toHexString(((long) high << Integer.SIZE) | low.getValue());
	}

	/**
	 * Returns keys of the parts of the prompt that other requests to the service may have
	 * in common with this one.
	 * @return the keys, which include the service, in the order of the prompt
	 */
	public List<String> sharedPartKeys() {
		return this.facts.sharedParts().stream().map((part) -> this.service.name() + "/" + part).toList();
	}

	/**
	 * Returns the name of the team that the request runs for.
	 * @return the name, or {@code null} on routes that need no key
	 */
	public @Nullable String teamName() {
		TeamPolicy owner = this.team;
		return (owner != null) ? owner.name() : null;
	}

}
