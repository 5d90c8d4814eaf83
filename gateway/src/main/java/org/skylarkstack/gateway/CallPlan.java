package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

/**
 * How one attempt of a request is sent.
 *
 * @param instanceId the server that must take it
 * @param remainingMillis how long the server may work, in milliseconds
 * @param team the team that the request runs for, or {@code null} on open routes
 * @param priority the priority at the engine, 0 being the most urgent
 * @param prefillOnly whether only the prompt is processed
 * @param source where the processed prompt is, or {@code null}
 * @param lastEventId the last event that the caller has, or {@code null}
 */
public record CallPlan(String instanceId, long remainingMillis, @Nullable String team, int priority,
		boolean prefillOnly, @Nullable KvSource source, @Nullable String lastEventId) {

	/**
	 * Processed prompt at the engine that holds it.
	 *
	 * @param address the engine's address
	 * @param handle the handle that the engine gave
	 */
	public record KvSource(InetSocketAddress address, String handle) {

	}

}
