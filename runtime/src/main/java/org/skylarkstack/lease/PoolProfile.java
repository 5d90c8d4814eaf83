package org.skylarkstack.lease;

import java.util.List;

/**
 * Measured load and goodput of one model's pool of engines.
 *
 * @param model the name of the model
 * @param demand the offered load, in engines
 * @param goodput the goodput reached, indexed by the number of engines from 0 on
 */
public record PoolProfile(String model, double demand, List<Double> goodput) {

	/** Copies the list. */
	public PoolProfile {
		goodput = List.copyOf(goodput);
	}

	/**
	 * Returns the goodput that is reached with a number of engines.
	 * @param engines the number of engines; a number above the largest measured one is
	 * treated as the largest
	 * @return the goodput, 0 if none was measured
	 */
	public double goodputOf(int engines) {
		return this.goodput.isEmpty() ? 0 : this.goodput.get(Math.min(engines, this.goodput.size() - 1));
	}

}
