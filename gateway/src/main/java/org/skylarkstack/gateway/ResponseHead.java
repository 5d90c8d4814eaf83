package org.skylarkstack.gateway;

import org.skylarkstack.response.RefusalStatus;

/**
 * The head of a backend server's response, decoded from its status and headers.
 *
 * @param status the HTTP status
 * @param notExecuted whether the server states that it did not run the request
 * @param signed whether the response carries the server's signature
 * @param requestsAtServer the number of requests running and waiting at the server, or a
 * negative number if not reported
 * @param pace how long work takes at the server at present, as a multiple of the usual
 * time, or NaN if not reported
 * @param notice what the server states about itself
 */
public record ResponseHead(int status, boolean notExecuted, boolean signed, int requestsAtServer, double pace,
		ServerNotice notice) {

	/**
	 * Returns whether the response is a success.
	 * @return whether the status is 2xx
	 */
	public boolean success() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns whether callers would take the status for the statement that the request
	 * has not run, although the server does not state this. Such a response is not passed
	 * on.
	 * @return whether the response only looks like a refusal
	 */
	public boolean isUnprovenRefusal() {
		return !this.notExecuted && RefusalStatus.matches(this.status);
	}

}
