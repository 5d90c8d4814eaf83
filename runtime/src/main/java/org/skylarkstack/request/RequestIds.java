package org.skylarkstack.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids of the form {@code vm.incarnation.sequence.attempt}.
 */
public final class RequestIds {

	private final String owner;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates the generator of one daemon.
	 * @param vmId the id of this VM
	 * @param incarnation the random number that this daemon drew at its start
	 */
	public RequestIds(String vmId, long incarnation) {
		this.owner = "%s.%x".formatted(vmId, incarnation);
	}

	/**
	 * Returns the owner of the requests: the VM and its incarnation.
	 * @return the owner as engines list it
	 */
	public String owner() {
		return this.owner;
	}

	/**
	 * Returns a new request id, without the number of an attempt.
	 * @return the id
	 */
	public String next() {
		return this.owner + "." + this.sequence.incrementAndGet();
	}

	/**
	 * Returns the id of an attempt of a request.
	 * @param requestId the request id
	 * @param attempt the number of the attempt, counted from 1
	 * @return the id
	 */
	public static String attempt(String requestId, int attempt) {
		return requestId + "." + attempt;
	}

}
