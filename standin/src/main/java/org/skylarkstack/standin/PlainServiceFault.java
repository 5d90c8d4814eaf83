package org.skylarkstack.standin;

/**
 * Fault of a plain service that hits a number of requests.
 */
public enum PlainServiceFault {

	/** The request is read, has no effect and is never answered. */
	SILENT,

	/** The request takes effect and is never answered. */
	SILENT_AFTER_EFFECT,

	/** The request takes effect and the connection is dropped in place of an answer. */
	DROP_AFTER_EFFECT,

	/** The request has no effect and the connection is dropped. */
	DROP_BEFORE_EFFECT,

	/** The answer is late. */
	SLOW,

	/** The service answers with status 503. */
	UNAVAILABLE

}
