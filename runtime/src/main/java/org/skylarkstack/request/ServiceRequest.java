package org.skylarkstack.request;

import java.util.List;

import org.skylarkstack.configuration.Route;
import org.skylarkstack.kernel.Cancellation;

/**
 * Request of a caller for a plain service.
 *
 * @param route the route that the request matched
 * @param method the HTTP method
 * @param target the raw path and query as sent
 * @param headers the headers that may be forwarded to the service
 * @param body the body
 * @param idempotent whether the request may run more than once
 * @param cancellation ends the request early
 */
public record ServiceRequest(Route route, String method, String target, List<Header> headers, byte[] body,
		boolean idempotent, Cancellation cancellation) {

	/** Copies the headers. */
	public ServiceRequest {
		headers = List.copyOf(headers);
	}

}
