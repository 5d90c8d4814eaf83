package org.skylarkstack.standin;

import java.util.List;

/**
 * Request to a stand-in engine.
 *
 * @param requestId the request and attempt
 * @param owner the VM and incarnation that hold the request
 * @param kind what is asked for
 * @param promptTokens the prompt tokens
 * @param prefixHashes the chained hashes of the whole prompt blocks
 * @param outputTokens the offset of the last output token
 * @param resumeOffset the number of output tokens that the caller already has
 * @param priority the priority; lower values are served first
 * @param stallStage the stage in which the request stops for ever
 */
public record EngineRequest(String requestId, String owner, Kind kind, int promptTokens, List<Long> prefixHashes,
		int outputTokens, int resumeOffset, int priority, EngineStage stallStage) {

	/** Copies the hashes. */
	public EngineRequest {
		prefixHashes = List.copyOf(prefixHashes);
	}

	/**
	 * What is asked for.
	 */
	public enum Kind {

		/** Prefill whose result another engine imports. */
		PREFILL,

		/** Decode of an imported prefill result. */
		DECODE,

		/** Prefill and decode on the same engine. */
		WHOLE

	}

}
