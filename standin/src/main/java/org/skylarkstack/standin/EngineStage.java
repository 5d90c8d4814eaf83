package org.skylarkstack.standin;

/**
 * Stage of a request in a stand-in engine.
 */
public enum EngineStage {

	/** Before or during the prefill. */
	PREFILL,

	/** While KV cache is transferred. */
	TRANSFER,

	/** While tokens are decoded. */
	STREAM,

	/** No stage. */
	NONE

}
