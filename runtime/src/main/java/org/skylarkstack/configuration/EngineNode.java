package org.skylarkstack.configuration;

/**
 * Engine that runs one model.
 *
 * @param id the identifier
 * @param url the base URL without a trailing slash
 * @param dataCentre the data centre
 * @param model the model that it serves
 * @param role the role
 * @param decodeSlots the requests that it decodes at once
 * @param memoryPieces the KV cache memory in pieces of about 2,000 tokens
 * @param prefillTokensPerSecond the prefill speed in tokens a second
 * @param checksFencing whether the engine refuses orders with an old fencing number
 * @param leaving whether the engine takes no new work
 */
public record EngineNode(String id, String url, String dataCentre, String model, EngineRole role, int decodeSlots,
		int memoryPieces, int prefillTokensPerSecond, boolean checksFencing,
		boolean leaving) implements ConfigurationObject {

	/** Number of tokens in one memory piece. */
	public static final int TOKENS_PER_PIECE = 2_000;

	/** Checks the sizes. */
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
