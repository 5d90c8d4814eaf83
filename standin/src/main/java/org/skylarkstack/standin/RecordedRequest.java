package org.skylarkstack.standin;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Request as a backend server saw it.
 *
 * @param method the HTTP method
 * @param path the path
 * @param headers the headers by lower-case name
 * @param body the body
 */
public record RecordedRequest(String method, String path, Map<String, String> headers, String body) {

	/** Copies the headers with lower-case names. */
	public RecordedRequest {
		Map<String, String> lower = new TreeMap<>();
		headers.forEach((name, value) -> lower.put(name.toLowerCase(Locale.ROOT), value));
		headers = Map.copyOf(lower);
	}

	/**
	 * Returns whether a text occurs in a header or in the body.
	 * @param text the text
	 * @return whether it occurs
	 */
	public boolean contains(String text) {
		return this.body.contains(text) || this.headers.values().stream().anyMatch((value) -> value.contains(text));
	}

}
