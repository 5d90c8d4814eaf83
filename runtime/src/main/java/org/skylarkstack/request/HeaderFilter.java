package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Selects the headers that are forwarded between callers and plain services. Hop-by-hop
 * headers, headers of this router and, towards the service, headers with the caller's
 * credentials are removed.
 */
public final class HeaderFilter {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authentication-info", "te", "trailer", "transfer-encoding", "upgrade");

	private static final Set<String> CREDENTIALS = Set.of("authorization", "proxy-authorization", "x-api-key",
			"api-key", "x-auth-token", "x-authorization");

	/** Headers that each hop generates itself. */
	private static final Set<String> REGENERATED = Set.of("host", "content-length", "expect");

	private static final String ROUTER_PREFIX = "x-skylark-";

	private HeaderFilter() {
	}

	/**
	 * Selects the headers of a request.
	 * @param headers the caller's headers
	 * @param callerKey the caller's key, or an empty string; a header whose value
	 * contains it is removed, whatever its name
	 * @return the headers for the service
	 */
	public static List<Header> towardsService(List<Header> headers, String callerKey) {
		List<Header> passed = withoutHopHeaders(headers);
		passed.removeIf((header) -> CREDENTIALS.contains(lower(header.name()))
				|| (!callerKey.isEmpty() && header.value().contains(callerKey)));
		return passed;
	}

	/**
	 * Selects the headers of a response.
	 * @param headers the service's headers
	 * @return the headers for the caller
	 */
	public static List<Header> towardsCaller(List<Header> headers) {
		return withoutHopHeaders(headers);
	}

	private static List<Header> withoutHopHeaders(List<Header> headers) {
		Set<String> connectionOptions = new HashSet<>();
		headers.stream()
			.filter((header) -> "connection".equals(lower(header.name())))
			.forEach((header) -> List.of(header.value().split(","))
				.forEach((name) -> connectionOptions.add(lower(name.trim()))));
		List<Header> passed = new ArrayList<>();
		for (Header header : headers) {
			String name = lower(header.name());
			if (!connectionOptions.contains(name) && !HOP_BY_HOP.contains(name) && !REGENERATED.contains(name)
					&& !name.startsWith(ROUTER_PREFIX)) {
				passed.add(header);
			}
		}
		return passed;
	}

	private static String lower(String text) {
		return text.toLowerCase(Locale.ROOT);
	}

}
