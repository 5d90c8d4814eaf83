package org.skylarkstack.bench;

/**
 * What a request of the load asks for.
 */
public enum RequestTarget {

	/** Streamed completion. */
	COMPLETION,

	/** Write to a plain service that must run at most once. */
	ENTRY,

	/** Read from a plain service that may be repeated. */
	STATUS

}
