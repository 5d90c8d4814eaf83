package org.skylarkstack.bench;

import org.skylarkstack.schedule.PlacementRequest;

/**
 * Request of the policy experiment with its placement and measured times.
 */
final class ModelledRequest {

	final PlacementRequest request;

	final String vmId;

	final long arrivalNanos;

	final int outputTokens;

	long grantId;

	String prefillEngineId = "";

	String decodeEngineId = "";

	boolean prefilled;

	long prefillEndNanos;

	long firstTokenNanos;

	long lastTokenNanos;

	int tokens;

	int lateGaps;

	boolean finished;

	ModelledRequest(PlacementRequest request, String vmId, long arrivalNanos, int outputTokens) {
		this.request = request;
		this.vmId = vmId;
		this.arrivalNanos = arrivalNanos;
		this.outputTokens = outputTokens;
	}

	int pieces() {
		return (this.request.promptTokens() + this.request.maxOutputTokens() + 1_999) / 2_000;
	}

	boolean isInteractive() {
		return !this.request.requestClass().mayExceedFirstTokenTarget();
	}

	/**
	 * Returns whether an interactive request met both latency targets, or a batch request
	 * was completed by its deadline.
	 * @param firstTokenTargetNanos the first-token target in nanoseconds
	 * @return whether the request was completed in time
	 */
	boolean meetsTargets(long firstTokenTargetNanos) {
		if (!this.finished) {
			return false;
		}
		if (isInteractive()) {
			return this.firstTokenNanos - this.arrivalNanos <= firstTokenTargetNanos
					&& this.lateGaps * 20 <= this.outputTokens;
		}
		return this.lastTokenNanos - this.arrivalNanos <= this.request.waitNanos();
	}

}
