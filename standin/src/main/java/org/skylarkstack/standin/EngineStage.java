package org.skylarkstack.standin;

/**
 * Stage of a request in a stand-in engine, in which an injected fault can stall it.
 */
public enum EngineStage {

	/** Before or during the prefill. */
	PREFILL,

	/** During the transfer of KV cache. */
	TRANSFER,

	/** During decoding, after the first token. */
	STREAM,

	/** No stage. */
	NONE

}
