package org.skylarkstack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Validates the orders that a stand-in engine receives, and keeps those it applied.
 */
final class EngineOrders {

	private static final Set<String> KINDS = Set.of("load_model", "load_adapter", "unload_adapter", "load_version",
			"change_role");

	private final List<EngineOrder> applied = new ArrayList<>();

	private long highestFencingNumber;

	/**
	 * Applies an order unless it is invalid, expired or fenced off.
	 * @param body the request body with the order
	 * @param checksFencing whether an outdated fencing number is rejected
	 * @param epochMillis the current wall-clock time in milliseconds
	 * @return the HTTP status: 200 if applied, 400 for an unknown kind, 409 for an
	 * outdated fencing number, 410 for an expired order
	 */
	synchronized int apply(JsonNode body, boolean checksFencing, long epochMillis) {
		EngineOrder order = new EngineOrder(body.path("kind").asText(), body.path("target").asText(),
				body.path("fencing_number").asLong());
		if (!KINDS.contains(order.kind())) {
			return 400;
		}
		if (body.path("expires_epoch_millis").asLong(Long.MAX_VALUE) <= epochMillis) {
			return 410;
		}
		if (checksFencing && order.fencingNumber() < this.highestFencingNumber) {
			return 409;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber());
		this.applied.add(order);
		return 200;
	}

	synchronized List<EngineOrder> applied() {
		return List.copyOf(this.applied);
	}

}
