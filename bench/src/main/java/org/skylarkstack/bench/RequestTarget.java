package org.skylarkstack.bench;

/**
 * Operation that a request performs.
 */
public enum RequestTarget {

	/** Streamed completion. */
	COMPLETION,

	/** Write to a plain service that must run at most once. */
	ENTRY,

	/** Read from a plain service that may be repeated. */
	STATUS

}
