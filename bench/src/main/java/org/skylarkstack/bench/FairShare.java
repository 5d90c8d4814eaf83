package org.skylarkstack.bench;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes weighted max-min fair shares: no team receives more than its demand, and
 * unused capacity is divided among the other teams by weight.
 */
final class FairShare {

	private static final double TOLERANCE = 1e-9;

	private FairShare() {
	}

	/**
	 * Divides an amount among teams.
	 * @param total the amount to divide
	 * @param demands the demand of each team
	 * @param weights the weight of each team, above 0
	 * @return the fair share of each team
	 */
	static Map<String, Double> divide(double total, Map<String, Double> demands, Map<String, Double> weights) {
		Map<String, Double> shares = new HashMap<>();
		Map<String, Double> unsatisfied = new HashMap<>(demands);
		double remaining = total;
		while (!unsatisfied.isEmpty()) {
			double weightSum = unsatisfied.keySet()
				.stream()
				.mapToDouble((team) -> weights.getOrDefault(team, 1.0))
				.sum();
			double sharePerWeight = remaining / weightSum;
			Map<String, Double> satisfied = new HashMap<>();
			unsatisfied.forEach((team, demand) -> {
				if (demand <= sharePerWeight * weights.getOrDefault(team, 1.0) + TOLERANCE) {
					satisfied.put(team, demand);
				}
			});
			if (satisfied.isEmpty()) {
				unsatisfied.keySet()
					.forEach((team) -> shares.put(team, sharePerWeight * weights.getOrDefault(team, 1.0)));
				return shares;
			}
			shares.putAll(satisfied);
			satisfied.keySet().forEach(unsatisfied::remove);
			remaining -= satisfied.values().stream().mapToDouble(Double::doubleValue).sum();
		}
		return shares;
	}

}
