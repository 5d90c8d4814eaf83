package org.skylarkstack.gateway;

import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.skylarkstack.edge.BackendCaller;

/**
 * Parts that all requests of a daemon share.
 *
 * @param loop the event loop that everything runs on
 * @param state what the daemon believes
 * @param dialect the platform's names and formats
 * @param caller calls backend servers
 * @param services chooses servers of plain services
 * @param engines chooses engines that process prompts
 * @param admission queues stream requests for room at engines
 * @param retries bounds further attempts
 * @param limits bounds what teams use
 * @param suspects knows requests whose servers died
 * @param metrics counts what happens
 * @param random the source of randomness
 */
public record GatewayParts(EventLoop loop, GatewayState state, WireDialect dialect, BackendCaller caller,
		BackendChooser services, EngineChooser engines, StreamAdmission admission, RetryAllowance retries,
		TeamLimits limits, CrashSuspects suspects, GatewayMetrics metrics, RandomGenerator random) {

}
