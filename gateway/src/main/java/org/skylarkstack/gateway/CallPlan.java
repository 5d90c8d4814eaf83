package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

/**
 * Parameters of one attempt that are encoded into the message for the backend server.
 *
 * @param instanceId the only server instance that may accept the attempt
 * @param remainingMillis the time that the server has for the request, in milliseconds
 * @param team the team that the request runs for, or {@code null} on routes that need no
 * key
 * @param priority the priority at the engine, 0 being the most urgent
 * @param prefillOnly whether the engine processes only the prompt
 * @param source the prefill result to fetch, or {@code null} if there is none
 * @param lastEventId the identifier of the last event that the caller has received, or
 * {@code null}
 */
public record CallPlan(String instanceId, long remainingMillis, @Nullable String team, int priority,
		boolean prefillOnly, @Nullable KvSource source, @Nullable String lastEventId) {

	/**
	 * Location of a prefill result.
	 *
	 * @param address the address of the engine that holds the result
	 * @param handle the handle that the engine assigned to the result
	 */
	public record KvSource(InetSocketAddress address, String handle) {

	}

}
