package org.skylarkstack.schedule;

import java.util.concurrent.CompletableFuture;

import org.skylarkstack.kernel.RouterException;

/**
 * Places requests on engines.
 */
public interface Placer {

	/**
	 * Waits until a request is placed on engines. An interrupt of the calling thread
	 * withdraws the request.
	 * @param request the request
	 * @return the placement, which the caller must release exactly once
	 * @throws org.skylarkstack.kernel.RouterException with verdict "not run" if the
	 * request is refused
	 */
	Placement place(PlacementRequest request);

	/**
	 * Requests a placement without waiting for it. Cancelling the future withdraws the
	 * request. If the request is already placed, {@code cancel} returns {@code false} and
	 * the caller must release the placement.
	 * @param request the request
	 * @return a future of the placement, which the caller must release exactly once; if
	 * the request is refused, the future fails with a {@link RouterException} with
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
	 * Releases the engines of a request.
	 * @param placement the placement
	 * @param release the tokens that were served and the engine that failed, if any
	 */
	void release(Placement placement, PlacementRelease release);

}
