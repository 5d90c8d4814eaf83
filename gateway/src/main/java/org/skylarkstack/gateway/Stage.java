package org.skylarkstack.gateway;

/**
 * Role of a backend server.
 */
public enum Stage {

	/** Server of a plain service. */
	NONE,

	/** Engine that processes prompts. */
	PREFILL,

	/** Engine that generates tokens. */
	DECODE

}
