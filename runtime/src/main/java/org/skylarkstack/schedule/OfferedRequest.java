package org.skylarkstack.schedule;

/**
 * Request that is offered to a policy.
 *
 * @param request the request
 * @param holder the VM and daemon incarnation that wait for the decision
 * @param arrivedNanos the time in nanoseconds at which the request arrived at its VM, on
 * the clock of the VM that runs the policy
 */
public record OfferedRequest(PlacementRequest request, String holder, long arrivedNanos) {

	/**
	 * Returns the deadline of the request. For an interactive request it is the time at
	 * which the first token is due, for a batch request the end of the time that it may
	 * wait for engines.
	 * @param firstTokenTargetNanos the first-token target of interactive requests in
	 * nanoseconds
	 * @return the deadline in nanoseconds
	 */
	long deadlineNanos(long firstTokenTargetNanos) {
		return this.arrivedNanos + (this.request.requestClass().mayExceedFirstTokenTarget() ? this.request.waitNanos()
				: firstTokenTargetNanos);
	}

}
