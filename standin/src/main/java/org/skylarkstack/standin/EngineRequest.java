package org.skylarkstack.standin;

import java.util.List;

/**
 * Request to a stand-in engine.
 *
 * @param requestId the request and attempt
 * @param owner the VM and incarnation that own the request
 * @param kind the requested work
 * @param promptTokens the number of prompt tokens
 * @param prefixHashes the chained hashes of the complete prompt blocks
 * @param outputTokens the offset of the last output token, counted from 1
 * @param resumeOffset the number of output tokens that the caller already has
 * @param priority the priority; lower values are served first
 * @param stallStage the stage in which the request stalls until it is cancelled
 */
public record EngineRequest(String requestId, String owner, Kind kind, int promptTokens, List<Long> prefixHashes,
		int outputTokens, int resumeOffset, int priority, EngineStage stallStage) {

	/** Makes a defensive copy of the hashes. */
	public EngineRequest {
		prefixHashes = List.copyOf(prefixHashes);
	}

	/**
	 * Requested work.
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
