package org.skylarkstack.fleet;

/**
 * HTTP response of a daemon.
 *
 * @param status the HTTP status, or 0 if the connection failed
 * @param verdict the value of the verdict header, or an empty string if it is absent
 * @param body the response body, or the error message if the connection failed
 */
public record FleetResponse(int status, String verdict, String body) {

	/**
	 * Returns whether this is a successful stream that arrived completely.
	 * @return whether the status is 200 and the body ends with the end marker
	 */
	public boolean isCompleteStream() {
		return this.status == 200 && this.body.endsWith("data: [DONE]\n\n");
	}

	/**
	 * Returns whether the request was rejected by the team's rate limit before it ran.
	 * @return whether the request may be sent again
	 */
	public boolean isRateLimited() {
		return this.status == 429 && this.verdict.equals("not-run");
	}

}
