package org.skylarkstack.configuration;

/**
 * Stages of a request that an engine runs.
 */
public enum EngineRole {

	/** Prefill only. */
	PREFILL,

	/** Decode only. */
	DECODE,

	/** Prefill and decode. */
	BOTH;

	/**
	 * Returns whether the engine runs prefills.
	 * @return {@code true} for {@link #PREFILL} and {@link #BOTH}
	 */
	public boolean prefills() {
		return this != DECODE;
	}

	/**
	 * Returns whether the engine runs decodes.
	 * @return {@code true} for {@link #DECODE} and {@link #BOTH}
	 */
	public boolean decodes() {
		return this != PREFILL;
	}

}
