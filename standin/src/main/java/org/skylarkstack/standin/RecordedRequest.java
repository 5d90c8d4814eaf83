package org.skylarkstack.standin;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Request as a backend server received it.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param headers the headers by lower-case name
 * @param body the body
 */
public record RecordedRequest(String method, String path, Map<String, String> headers, String body) {

	/** Copies the headers and converts their names to lower case. */
	public RecordedRequest {
		Map<String, String> lower = new TreeMap<>();
		headers.forEach((name, value) -> lower.put(name.toLowerCase(Locale.ROOT), value));
		headers = Map.copyOf(lower);
	}

	/**
	 * Returns whether a text occurs in a header value or in the body.
	 * @param text the text, matched with case
	 * @return whether the text occurs
	 */
	public boolean contains(String text) {
		return this.body.contains(text) || this.headers.values().stream().anyMatch((value) -> value.contains(text));
	}

}
