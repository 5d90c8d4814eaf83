package org.skylarkstack.configurationcheck;

import java.util.function.Function;

import org.skylarkstack.edge.EdgeLimits;

/**
 * Fields of the limits on the connections and requests of callers.
 */
public enum LimitField implements Field<EdgeLimits> {

	/** Maximum size of the headers in bytes. */
	MAX_HEADER_BYTES(EdgeLimits::maxHeaderBytes),

	/** Maximum size of the body in bytes. */
	MAX_BODY_BYTES(EdgeLimits::maxBodyBytes),

	/** Maximum time to receive a request in milliseconds. */
	REQUEST_TIMEOUT(EdgeLimits::requestTimeoutMillis),

	/** Maximum time without a request in milliseconds. */
	IDLE_TIMEOUT(EdgeLimits::idleTimeoutMillis);

	private final Function<EdgeLimits, Object> value;

	LimitField(Function<EdgeLimits, Object> value) {
		this.value = value;
	}

	@Override
	public Object value(EdgeLimits limits) {
		return this.value.apply(limits);
	}

}
