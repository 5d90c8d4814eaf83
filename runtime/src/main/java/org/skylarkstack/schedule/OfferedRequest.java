package org.skylarkstack.schedule;

/**
 * Request as it is offered to a policy.
 *
 * @param request the request
 * @param holder the VM and incarnation that wait for the answer
 * @param arrivedNanos when the request arrived at its VM, on the clock of the policy's
 * owner
 */
public record OfferedRequest(PlacementRequest request, String holder, long arrivedNanos) {

	/**
	 * Returns when the request stops being useful: the first-token target of interactive
	 * requests, the end of the wait of all others.
	 * @param firstTokenNanos the first-token target
	 * @return the deadline
	 */
	long deadlineNanos(long firstTokenNanos) {
		return this.arrivedNanos + (this.request.requestClass().mayWait() ? this.request.waitNanos() : firstTokenNanos);
	}

}
