package org.skylarkstack.bench;

/**
 * Comparison of the router with engines called directly in the same run.
 *
 * @param requests the number of requests sent each way
 * @param addedFirstTokenMedianMillis time added to the first token, median
 * @param addedFirstTokenP99Millis time added to the first token, 99th percentile
 * @param addedGapMedianMillis time added between tokens, median
 * @param addedGapP99Millis time added between tokens, 99th percentile
 * @param directCpuMicrosPerToken CPU time of this process for a token without the router
 * @param routedCpuMicrosPerToken CPU time of this process for a token with the router
 * @param daemonCpuMicrosPerToken CPU time for a token of the daemon threads that serve
 * callers
 * @param tokensPerSecondAndCore relayed tokens per second of the router's CPU time
 * @param openStreams the number of open streams while memory was measured
 * @param directHeapBytesPerStream heap for each open stream without the router
 * @param routedHeapBytesPerStream heap for each open stream with the router
 */
public record DirectFigures(int requests, double addedFirstTokenMedianMillis, double addedFirstTokenP99Millis,
		double addedGapMedianMillis, double addedGapP99Millis, double directCpuMicrosPerToken,
		double routedCpuMicrosPerToken, double daemonCpuMicrosPerToken, double tokensPerSecondAndCore, int openStreams,
		long directHeapBytesPerStream, long routedHeapBytesPerStream) {

}
