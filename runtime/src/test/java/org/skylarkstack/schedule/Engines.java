package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;

/**
 * Creates engines and requests for the placement tests.
 */
final class Engines {

	static final long MILLIS = 1_000_000L;

	private Engines() {
	}

	static EngineNode prefill(String id) {
		return new EngineNode(id, "http://" + id, "a", "m", EngineRole.PREFILL, 1, 1_000, 16_000, true, false);
	}

	static EngineNode decode(String id, int slots, int pieces) {
		return new EngineNode(id, "http://" + id, "a", "m", EngineRole.DECODE, slots, pieces, 16_000, true, false);
	}

	static PlacementRequest request(String id, String team, RequestClass requestClass, int promptTokens) {
		return new PlacementRequest(id, "vm1", "m", team, 1, requestClass, promptTokens, 100, List.of(),
				(requestClass == RequestClass.BATCH) ? 60_000 * MILLIS : 500 * MILLIS, false);
	}

}
