package org.skylarkstack.schedule;

/**
 * Finds engines for requests.
 */
public interface Placer {

	/**
	 * Waits until engines are free for a request.
	 * @param request the request
	 * @return the engines, to be released exactly once
	 * @throws org.skylarkstack.kernel.RouterException with verdict "not run" if the
	 * request is refused
	 */
	Placement place(PlacementRequest request);

	/**
	 * Gives the engines of a request back.
	 * @param placement the placement
	 * @param release why and with how many tokens the request ended
	 */
	void release(Placement placement, PlacementRelease release);

}
