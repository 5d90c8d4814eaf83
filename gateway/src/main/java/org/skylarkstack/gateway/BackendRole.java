package org.skylarkstack.gateway;

/**
 * Role of a backend server: the stage of a request that it performs.
 */
public enum BackendRole {

	/** Server of a plain service, which runs no model engine. */
	NONE,

	/** Model engine that processes prompts. */
	PREFILL,

	/** Model engine that generates tokens. */
	DECODE

}
