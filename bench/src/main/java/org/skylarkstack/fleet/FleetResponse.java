package org.skylarkstack.fleet;

/**
 * Answer of a daemon.
 *
 * @param status the HTTP status, or 0 if the connection broke
 * @param verdict the verdict header, or an empty string
 * @param body the body, or the reason why the connection broke
 */
public record FleetResponse(int status, String verdict, String body) {

	/**
	 * Returns whether a streamed answer is whole.
	 * @return whether it ends with the end marker
	 */
	public boolean isCompleteStream() {
		return this.status == 200 && this.body.endsWith("data: [DONE]\n\n");
	}

	/**
	 * Returns whether the request was refused as not run for want of tokens.
	 * @return whether it may be sent again
	 */
	public boolean isRateLimited() {
		return this.status == 429 && this.verdict.equals("not-run");
	}

}
