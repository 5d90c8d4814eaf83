package org.skylarkstack.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.PlacementRelease;
import org.skylarkstack.schedule.PlacementRequest;
import org.skylarkstack.schedule.Placer;

/**
 * Placer for tests that picks the engines with the fewest requests of this VM.
 */
final class InFlightPlacer implements Placer {

	private final ConfigurationHolder configuration;

	private final Map<String, Integer> inFlight = new HashMap<>();

	/**
	 * Creates a placer.
	 * @param configuration lists the engines
	 */
	InFlightPlacer(ConfigurationHolder configuration) {
		this.configuration = configuration;
	}

	@Override
	public synchronized Placement place(PlacementRequest request) {
		List<EngineNode> engines = this.configuration.current().engines(request.model());
		EngineNode prefill = leastBusy(engines, (engine) -> engine.role().prefills(), request.model());
		EngineNode decode = leastBusy(engines, (engine) -> engine.role().decodes(), request.model());
		this.inFlight.merge(prefill.id(), 1, Integer::sum);
		this.inFlight.merge(decode.id(), 1, Integer::sum);
		return new Placement(request.requestId(), request.model(), prefill.id(), decode.id());
	}

	private EngineNode leastBusy(List<EngineNode> engines, Predicate<EngineNode> filter, String model) {
		return engines.stream()
			.filter((engine) -> !engine.leaving())
			.filter(filter)
			.min(Comparator.comparingInt((EngineNode engine) -> this.inFlight.getOrDefault(engine.id(), 0))
				.thenComparing(EngineNode::id))
			.orElseThrow(() -> new RouterException(ErrorType.NO_ENGINE, model));
	}

	@Override
	public synchronized void release(Placement placement, PlacementRelease release) {
		this.inFlight.merge(placement.prefillEngineId(), -1, Integer::sum);
		this.inFlight.merge(placement.decodeEngineId(), -1, Integer::sum);
	}

}
