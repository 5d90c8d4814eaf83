package org.skylarkstack.configuration;

/**
 * Engine that runs one model.
 *
 * @param id the identifier
 * @param url the base URL without a trailing slash
 * @param dataCentre the data centre in which it runs
 * @param model the name of the model that it serves
 * @param role whether it prefills, decodes or both
 * @param decodeSlots the number of requests that it can decode concurrently
 * @param memoryPieces the size of its KV cache in pieces, which are blocks of about 2,000
 * tokens
 * @param prefillTokensPerSecond the prefill throughput in tokens per second
 * @param checksFencing whether the engine rejects orders, such as a role change, with an
 * outdated fencing number
 * @param leaving whether the engine is being drained and receives no new requests
 */
public record EngineNode(String id, String url, String dataCentre, String model, EngineRole role, int decodeSlots,
		int memoryPieces, int prefillTokensPerSecond, boolean checksFencing,
		boolean leaving) implements ConfigurationObject {

	/** Number of tokens in one piece of the KV cache. */
	public static final int TOKENS_PER_PIECE = 2_000;

	/** Rejects sizes that are not positive. */
	public EngineNode {
		if (decodeSlots <= 0 || memoryPieces <= 0 || prefillTokensPerSecond <= 0) {
			throw new IllegalArgumentException("sizes of engine %s must be positive".formatted(id));
		}
	}

	@Override
	public ObjectKind objectKind() {
		return ObjectKind.ENGINE;
	}

}
