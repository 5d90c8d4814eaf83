package org.skylarkstack.response;

/**
 * Statuses by which a caller knows that its request has not run and will not run, so that
 * it may send any request again: 408, 421, 429 and 503. A response with such a status
 * leaves the router only if that is certain.
 */
public final class RefusalStatus {

	private static final int REQUEST_TIMEOUT = 408;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private RefusalStatus() {
	}

	/**
	 * Returns whether a status states that the request has not run.
	 * @param status the HTTP status
	 * @return whether callers take it for such a statement
	 */
	public static boolean matches(int status) {
		return status == REQUEST_TIMEOUT || status == MISDIRECTED_REQUEST || status == TOO_MANY_REQUESTS
				|| status == SERVICE_UNAVAILABLE;
	}

}
