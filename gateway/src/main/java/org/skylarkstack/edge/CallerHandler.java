package org.skylarkstack.edge;

/**
 * Takes whole requests from the edge.
 */
public interface CallerHandler {

	/**
	 * Handles a request. The answer may be given later.
	 * @param request the request
	 * @param answer receives the answer
	 */
	void handle(CallerRequest request, CallerAnswer answer);

}
