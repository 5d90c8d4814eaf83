package org.skylarkstack.schedule;

/**
 * Options of {@link PoolScheduler}. Components that end in {@code Nanos} are durations in
 * nanoseconds.
 *
 * @param firstTokenTargetNanos the first-token target of interactive requests
 * @param firstTokenMarginNanos the part of the first-token target that is reserved for
 * errors of the estimate
 * @param firstDecodeNanos the time from the end of a transfer to the first token
 * @param prefillOverheadNanos the fixed part of the duration of a prefill
 * @param prefillLookaheadNanos the largest prefill backlog with which an engine is
 * granted another prefill
 * @param decodeMillisPerToken the engine time of one output token in milliseconds, with
 * full batches
 * @param transferTokensPerSecond the KV cache transfer rate of a link within a data
 * centre, in prompt tokens a second
 * @param remoteTransferTokensPerSecond the KV cache transfer rate of a link between data
 * centres, in prompt tokens a second
 * @param transferSetupNanos the fixed part of the duration of a transfer
 * @param prefillResultLifetimeNanos the time for which a prefill engine keeps a prefill
 * result
 * @param maxReportLagNanos the maximum age of the state that a load report shows
 * @param reportTimeoutNanos the time without a load report after which an engine is
 * quarantined
 * @param quarantineNanos the duration of the quarantine after the first failure of an
 * engine, which doubles with each further failure; also the probe period of a quarantined
 * engine
 * @param maxQuarantineNanos the maximum duration of the quarantine after a failure
 * @param grantTermNanos the time after which a grant that is not renewed is freed
 * @param batchUrgentNanos the time before its deadline from which a batch request
 * competes with interactive ones
 * @param batchSlotReserve the number of free decode slots of each engine that batch
 * requests leave to interactive ones
 * @param batchMaxPrefillShare the share of the prefill engines that may run batch
 * prefills concurrently
 * @param maxQueuedPerTeam the maximum number of queued requests of a team
 * @param maxQueued the maximum number of queued requests of all teams
 * @param maxPrefixBlocks the maximum number of prefix blocks in the index of each engine
 */
public record SchedulerOptions(long firstTokenTargetNanos, long firstTokenMarginNanos, long firstDecodeNanos,
		long prefillOverheadNanos, long prefillLookaheadNanos, double decodeMillisPerToken,
		double transferTokensPerSecond, double remoteTransferTokensPerSecond, long transferSetupNanos,
		long prefillResultLifetimeNanos, long maxReportLagNanos, long reportTimeoutNanos, long quarantineNanos,
		long maxQuarantineNanos, long grantTermNanos, long batchUrgentNanos, int batchSlotReserve,
		double batchMaxPrefillShare, int maxQueuedPerTeam, int maxQueued, int maxPrefixBlocks) {

	private static final long MILLIS = 1_000_000L;

	/** Options for the deployments described on the design page. */
	public static final SchedulerOptions DEFAULT = new SchedulerOptions(520 * MILLIS, 25 * MILLIS, 75 * MILLIS,
			8 * MILLIS, 25 * MILLIS, 2.5, 200_000, 100_000, 2 * MILLIS, 800 * MILLIS, 150 * MILLIS, 3_000 * MILLIS,
			1_000 * MILLIS, 30_000 * MILLIS, 10_000 * MILLIS, 30_000 * MILLIS, 2, 1.0, 512, 8_192, 16_384);

}
