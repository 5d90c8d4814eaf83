package org.skylarkstack.peers;

import java.util.List;

/**
 * A request that was running at a backend server when its sender detected that the server
 * had crashed.
 *
 * @param crashId identifies the crash
 * @param request identifies requests with the same content
 * @param parts the parts of the prompt that other requests may have in common with it
 * @param started whether the response had started
 * @param ageMillis the time since the crash in milliseconds
 */
public record ReportedCrash(String crashId, String request, List<String> parts, boolean started, long ageMillis) {

	/**
	 * Creates an entry with an unmodifiable copy of the parts.
	 */
	public ReportedCrash {
		parts = List.copyOf(parts);
	}

}
