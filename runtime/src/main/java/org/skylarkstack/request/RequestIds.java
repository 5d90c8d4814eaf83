package org.skylarkstack.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes request ids of the form {@code vm.incarnation.sequence.attempt}.
 */
public final class RequestIds {

	private final String owner;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates the ids of one daemon.
	 * @param vmId this VM
	 * @param incarnation the random number of this start
	 */
	public RequestIds(String vmId, long incarnation) {
		this.owner = "%s.%x".formatted(vmId, incarnation);
	}

	/**
	 * Returns the VM and incarnation.
	 * @return the owner as engines list it
	 */
	public String owner() {
		return this.owner;
	}

	/**
	 * Returns a new request id without an attempt.
	 * @return the id
	 */
	public String next() {
		return this.owner + "." + this.sequence.incrementAndGet();
	}

	/**
	 * Returns the id of an attempt.
	 * @param requestId the request
	 * @param attempt the attempt, counted from 1
	 * @return the id
	 */
	public static String attempt(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

}
