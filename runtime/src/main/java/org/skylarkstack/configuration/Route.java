package org.skylarkstack.configuration;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Route from a path prefix and HTTP methods to a plain HTTP service.
 *
 * @param id the identifier
 * @param pathPrefix the path prefix; the longest matching prefix is used
 * @param methods the HTTP methods
 * @param serviceId the identifier of the service
 * @param open whether requests are accepted without an API key
 * @param nonIdempotent whether a request must run at most once
 */
public record Route(String id, String pathPrefix, Set<String> methods, String serviceId, boolean open,
		boolean nonIdempotent) implements ConfigurationObject {

	/**
	 * Checks the path prefix, and copies and sorts the methods. They are sorted because
	 * the content hash of a ticket must not depend on the iteration order of a set.
	 */
	public Route {
		methods = Collections.unmodifiableSet(new TreeSet<>(methods));
		if (!pathPrefix.startsWith("/")) {
			throw new IllegalArgumentException("pathPrefix of route %s must start with /".formatted(id));
		}
	}

	@Override
	public ObjectKind objectKind() {
		return ObjectKind.ROUTE;
	}

}
