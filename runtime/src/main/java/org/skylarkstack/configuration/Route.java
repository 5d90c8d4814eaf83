package org.skylarkstack.configuration;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Route from a path prefix to a plain service.
 *
 * @param id the identifier
 * @param pathPrefix the path prefix; the longest match wins
 * @param methods the HTTP methods
 * @param serviceId the plain service
 * @param open whether requests need no key
 * @param nonIdempotent whether a request may run at most once
 */
public record Route(String id, String pathPrefix, Set<String> methods, String serviceId, boolean open,
		boolean nonIdempotent) implements ConfigurationObject {

	/**
	 * Checks the path and copies the methods. The methods are sorted because the content
	 * hash of a ticket must not depend on the iteration order of a set.
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
