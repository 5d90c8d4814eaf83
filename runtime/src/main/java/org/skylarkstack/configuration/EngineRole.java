package org.skylarkstack.configuration;

/**
 * Work that an engine does.
 */
public enum EngineRole {

	/** Prefill only. */
	PREFILL,

	/** Decode only. */
	DECODE,

	/** Prefill and decode. */
	BOTH;

	/**
	 * Returns whether the engine takes prefills.
	 * @return whether it prefills
	 */
	public boolean prefills() {
		return this != DECODE;
	}

	/**
	 * Returns whether the engine takes decodes.
	 * @return whether it decodes
	 */
	public boolean decodes() {
		return this != PREFILL;
	}

}
