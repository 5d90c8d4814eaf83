package org.skylarkstack.schedule;

import java.util.concurrent.CompletableFuture;

import org.skylarkstack.kernel.RouterException;

/**
 * Finds engines for requests.
 */
public interface Placer {

	/**
	 * Waits until engines are free for a request. An interrupt withdraws the request.
	 * @param request the request
	 * @return the engines, to be released exactly once
	 * @throws org.skylarkstack.kernel.RouterException with verdict "not run" if the
	 * request is refused
	 */
	Placement place(PlacementRequest request);

	/**
	 * Asks for engines without waiting. Cancelling the future withdraws the request; if
	 * the cancellation comes too late, {@code cancel} returns {@code false} and the
	 * placement is to be released.
	 * @param request the request
	 * @return the engines, to be released exactly once, or a {@link RouterException} with
	 * verdict "not run"
	 */
	default CompletableFuture<Placement> offer(PlacementRequest request) {
		try {
			return CompletableFuture.completedFuture(place(request));
		}
		catch (RouterException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Gives the engines of a request back.
	 * @param placement the placement
	 * @param release why and with how many tokens the request ended
	 */
	void release(Placement placement, PlacementRelease release);

}
