package org.skylarkstack.schedule;

/**
 * Tunable values of {@link PoolScheduler}. All durations are in nanoseconds.
 *
 * @param firstTokenNanos the first-token target of interactive requests
 * @param firstTokenMarginNanos the part of the target kept for errors of the estimate
 * @param firstDecodeNanos the time from the end of a transfer to the first token
 * @param prefillOverheadNanos the fixed part of a prefill
 * @param prefillLookaheadNanos the largest prefill backlog of an engine that is granted
 * more work
 * @param decodeMillisPerToken the engine time of one output token in milliseconds, with
 * full batches
 * @param transferTokensPerSecond the KV cache rate of a link within a data centre, in
 * prompt tokens a second
 * @param remoteTransferTokensPerSecond the same between data centres
 * @param transferSetupNanos the fixed part of a transfer
 * @param prefillResultNanos the time that a prefill result lives on its engine
 * @param reportLagNanos the largest age of the state that a load report shows
 * @param reportTimeoutNanos the time without a report after which an engine is
 * quarantined
 * @param quarantineNanos the first quarantine term of a failed engine; it doubles with
 * each further failure
 * @param maxQuarantineNanos the longest quarantine term
 * @param grantTermNanos the time after which a grant that is not renewed is freed
 * @param batchUrgentNanos the time before its deadline from which a batch request
 * competes with interactive ones
 * @param batchSlotReserve the free decode slots of an engine that batch requests leave to
 * interactive ones
 * @param batchMaxPrefillShare the share of the prefill engines that may run batch
 * prefills at once
 * @param maxQueuedPerTeam the bound of a team's queue
 * @param maxQueued the bound of all queues of the model
 * @param maxPrefixBlocks the prefix blocks remembered for each engine
 */
public record SchedulerOptions(long firstTokenNanos, long firstTokenMarginNanos, long firstDecodeNanos,
		long prefillOverheadNanos, long prefillLookaheadNanos, double decodeMillisPerToken,
		double transferTokensPerSecond, double remoteTransferTokensPerSecond, long transferSetupNanos,
		long prefillResultNanos, long reportLagNanos, long reportTimeoutNanos, long quarantineNanos,
		long maxQuarantineNanos, long grantTermNanos, long batchUrgentNanos, int batchSlotReserve,
		double batchMaxPrefillShare, int maxQueuedPerTeam, int maxQueued, int maxPrefixBlocks) {

	private static final long MILLIS = 1_000_000L;

	/** Values for the deployments of the design page. */
	public static final SchedulerOptions DEFAULT = new SchedulerOptions(520 * MILLIS, 25 * MILLIS, 75 * MILLIS,
			8 * MILLIS, 25 * MILLIS, 2.5, 200_000, 100_000, 2 * MILLIS, 800 * MILLIS, 150 * MILLIS, 3_000 * MILLIS,
			1_000 * MILLIS, 30_000 * MILLIS, 10_000 * MILLIS, 30_000 * MILLIS, 2, 0.5, 512, 8_192, 16_384);

}
