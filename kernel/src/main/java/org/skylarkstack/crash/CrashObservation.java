package org.skylarkstack.crash;

import java.util.List;

/**
 * A request that a backend server was running when it crashed.
 *
 * @param crashId identifies the crash; observations of the same crash by several daemons
 * have the same identifier
 * @param request identifies requests with the same content
 * @param parts the parts of the prompt that other requests may have in common with it, in
 * order; empty if the response had started, which shows that the parts did not crash the
 * server
 * @param started whether the response had started
 * @param nanos the time of the crash on the monotonic clock of this process, in
 * nanoseconds
 */
public record CrashObservation(String crashId, String request, List<String> parts, boolean started, long nanos) {

	/**
	 * Creates an observation with an unmodifiable copy of the parts.
	 */
	public CrashObservation {
		parts = started ? List.of() : List.copyOf(parts);
	}

}
