package org.skylarkstack.lease;

import java.util.List;

/**
 * Measured profile of one model's pool.
 *
 * @param model the model
 * @param demand the offered load, in engines
 * @param goodput the goodput reached with 0, 1, 2 and more engines
 */
public record PoolProfile(String model, double demand, List<Double> goodput) {

	/** Copies the list. */
	public PoolProfile {
		goodput = List.copyOf(goodput);
	}

	/**
	 * Returns the goodput with a number of engines.
	 * @param engines the engines; more than measured count as the last measured number
	 * @return the goodput
	 */
	public double goodputOf(int engines) {
		return this.goodput.isEmpty() ? 0 : this.goodput.get(Math.min(engines, this.goodput.size() - 1));
	}

}
