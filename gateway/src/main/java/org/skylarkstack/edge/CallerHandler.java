package org.skylarkstack.edge;

/**
 * Handles the requests that the {@link EdgeServer} receives.
 */
public interface CallerHandler {

	/**
	 * Handles a request. The response may be sent after this method has returned.
	 * @param request the complete request
	 * @param response writes the response
	 */
	void handle(CallerRequest request, CallerResponse response);

}
