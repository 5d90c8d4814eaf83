package org.skylarkstack.standin;

/**
 * Fault of a plain service that applies to a given number of requests.
 */
public enum PlainServiceFault {

	/** The request is read and has no effect; the service never responds. */
	SILENT,

	/** The request takes effect; the service never responds. */
	SILENT_AFTER_EFFECT,

	/** The request takes effect; the connection is closed without a response. */
	DROP_AFTER_EFFECT,

	/** The request has no effect; the connection is closed without a response. */
	DROP_BEFORE_EFFECT,

	/** The response is delayed. */
	SLOW,

	/** The request has no effect; the service responds with status 503. */
	UNAVAILABLE

}
