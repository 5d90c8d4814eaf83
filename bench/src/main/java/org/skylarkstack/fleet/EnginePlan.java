package org.skylarkstack.fleet;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.standin.EngineMemory;
import org.skylarkstack.standin.EngineSpec;
import org.skylarkstack.standin.EngineSpeed;

/**
 * Configuration of one engine of a local fleet.
 *
 * @param id the engine identifier
 * @param dataCentre the data centre of the engine
 * @param model the model that the engine serves
 * @param role the stages that the engine runs
 * @param decodeSlots the maximum number of concurrent decodes
 * @param memoryPieces the size of the KV cache memory in pieces
 * @param prefillTokensPerSecond the prefill throughput in tokens per second
 * @param tokenMillis the time between two output tokens in milliseconds
 */
public record EnginePlan(String id, String dataCentre, String model, EngineRole role, int decodeSlots, int memoryPieces,
		int prefillTokensPerSecond, int tokenMillis) {

	EngineNode node(String url) {
		return new EngineNode(this.id, url, this.dataCentre, this.model, this.role, this.decodeSlots, this.memoryPieces,
				this.prefillTokensPerSecond, true, false);
	}

	EngineSpec spec() {
		EngineSpec defaults = EngineSpec.withDefaults(this.id, this.tokenMillis);
		EngineSpeed speed = defaults.speed();
		EngineMemory memory = defaults.memory();
		return defaults
			.withSpeed(new EngineSpeed(this.decodeSlots, speed.tokenMicros(), speed.batchSlowdown(),
					this.prefillTokensPerSecond, speed.prefillBaseMicros(), speed.transferTokensPerSecond()))
			.withMemory(new EngineMemory(this.memoryPieces, memory.cacheBlocks(), memory.prefillResultMillis(),
					memory.maxWaiting()));
	}

}
