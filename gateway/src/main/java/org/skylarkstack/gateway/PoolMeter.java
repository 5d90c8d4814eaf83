package org.skylarkstack.gateway;

import java.util.List;

import org.skylarkstack.peers.PeerUsage;

/**
 * Averages the load of a service's engines over the last seconds, by what all daemons
 * occupy. Confined to one thread.
 */
final class PoolMeter {

	private static final double SMOOTHING = 0.05;

	private static final int MIN_SAMPLES = 12;

	// Memory of decode engines fills slowly after a start.
	private static final int MIN_SAMPLES_FOR_MOVE_TO_PREFILL = 50;

	private double busyPrefill;

	private double decodeFill;

	private int samples;

	/**
	 * Takes a sample.
	 * @param prefill the prefill engines
	 * @param decode the decode engines
	 * @param profile the profile of the engines
	 * @param peers what peers use
	 * @param nowNanos the present time
	 */
	void sample(List<BackendState> prefill, List<BackendState> decode, EngineProfile profile, PeerUsage peers,
			long nowNanos) {
		double busy = prefill.stream().filter((engine) -> EngineOccupancy.tokens(engine, peers, nowNanos) > 0).count();
		double occupied = decode.stream().mapToLong((engine) -> EngineOccupancy.tokens(engine, peers, nowNanos)).sum();
		double fill = occupied / Math.max(1, profile.kvTokens() * decode.size());
		this.busyPrefill += SMOOTHING * (busy - this.busyPrefill);
		this.decodeFill += SMOOTHING * (fill - this.decodeFill);
		this.samples++;
	}

	/**
	 * Returns whether the average means something yet.
	 * @param role the role that an engine might take
	 * @return whether there are enough samples
	 */
	boolean hasEnoughSamples(Stage role) {
		return this.samples >= ((role == Stage.PREFILL) ? MIN_SAMPLES_FOR_MOVE_TO_PREFILL : MIN_SAMPLES);
	}

	PoolLoad load(int prefillEngines, int decodeEngines) {
		// The average starts at zero; the correction takes that out.
		double totalWeight = 1 - Math.pow(1 - SMOOTHING, this.samples);
		return new PoolLoad(prefillEngines, this.busyPrefill / totalWeight, decodeEngines,
				this.decodeFill / totalWeight);
	}

}
