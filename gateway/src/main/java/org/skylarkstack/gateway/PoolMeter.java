package org.skylarkstack.gateway;

import java.util.List;

import org.skylarkstack.peers.PeerUsage;

/**
 * Exponential moving average of the load that all daemons put on the engines of a
 * service, over the last seconds. Confined to one thread.
 */
final class PoolMeter {

	private static final double SMOOTHING = 0.05;

	private static final int MIN_SAMPLES = 12;

	// The memory of decode engines fills slowly after a start, so that they seem idle at
	// first.
	private static final int MIN_SAMPLES_FOR_MOVE_TO_PREFILL = 50;

	private double busyPrefill;

	private double decodeFill;

	private int samples;

	/**
	 * Adds a sample to the average.
	 * @param prefill all prefill engines of the service
	 * @param decode all decode engines of the service
	 * @param profile the common profile of the engines
	 * @param peers the engine usage that peers report
	 * @param nowNanos the current monotonic time in nanoseconds
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
	 * Returns whether the average has enough samples to decide on a change of role.
	 * @param role the role that an engine would take
	 * @return whether the number of samples suffices for a change to this role
	 */
	boolean hasEnoughSamples(BackendRole role) {
		return this.samples >= ((role == BackendRole.PREFILL) ? MIN_SAMPLES_FOR_MOVE_TO_PREFILL : MIN_SAMPLES);
	}

	PoolLoad load(int prefillEngines, int decodeEngines) {
		// The average starts at zero; dividing by the total weight of the samples removes
		// that bias.
		double totalWeight = 1 - Math.pow(1 - SMOOTHING, this.samples);
		return new PoolLoad(prefillEngines, this.busyPrefill / totalWeight, decodeEngines,
				this.decodeFill / totalWeight);
	}

}
