package org.skylarkstack.standin;

/**
 * Specification of a stand-in engine.
 *
 * @param id the engine's id
 * @param speed the speed
 * @param memory the memory and queue limits
 * @param reporting the delay and loss of its reports
 * @param seed the seed for lost cache events
 */
public record EngineSpec(String id, EngineSpeed speed, EngineMemory memory, EngineReporting reporting, long seed) {

	/**
	 * Returns the default specification with a given step time.
	 * @param id the engine's id, from which the seed is derived
	 * @param tokenMillis the time between two output tokens in milliseconds
	 * @return the specification
	 */
	public static EngineSpec withDefaults(String id, int tokenMillis) {
		return new EngineSpec(id, EngineSpeed.ofTokenMicros(tokenMillis * 1_000), EngineMemory.DEFAULT,
				EngineReporting.DEFAULT, id.hashCode());
	}

	/**
	 * Returns a copy with another speed.
	 * @param other the speed
	 * @return the copy
	 */
	public EngineSpec withSpeed(EngineSpeed other) {
		return new EngineSpec(this.id, other, this.memory, this.reporting, this.seed);
	}

	/**
	 * Returns a copy with other memory and queue limits.
	 * @param other the limits
	 * @return the copy
	 */
	public EngineSpec withMemory(EngineMemory other) {
		return new EngineSpec(this.id, this.speed, other, this.reporting, this.seed);
	}

	/**
	 * Returns a copy with another delay and loss of reports.
	 * @param other the delay and loss
	 * @return the copy
	 */
	public EngineSpec withReporting(EngineReporting other) {
		return new EngineSpec(this.id, this.speed, this.memory, other, this.seed);
	}

}
