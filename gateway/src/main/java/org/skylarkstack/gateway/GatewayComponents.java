package org.skylarkstack.gateway;

import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.skylarkstack.edge.BackendClient;
import org.skylarkstack.edge.BodyBudget;

/**
 * Components that all requests of a daemon share.
 *
 * @param loop the event loop that all components run on
 * @param state the active configuration and the known backend servers
 * @param dialect encodes and decodes the platform's messages
 * @param backendClient sends requests to backend servers
 * @param bodyBudget bounds the memory of responses that are being received
 * @param backendChooser chooses the server of a request to a plain service
 * @param prefillEngineChooser chooses the engine that processes a prompt
 * @param admission queues stream requests until an engine has free capacity
 * @param completionTimes estimates the time until a response is complete
 * @param retryBudget limits the attempts beyond the first of each request
 * @param limits limits the usage of each team
 * @param suspects records the requests that were running when a server crashed
 * @param metrics counts requests, attempts and store calls
 * @param random the random number generator that all requests use
 * @param secondAttempts decides about second attempts of requests to plain services
 */
public record GatewayComponents(EventLoop loop, GatewayState state, WireDialect dialect, BackendClient backendClient,
		BodyBudget bodyBudget, BackendChooser backendChooser, PrefillEngineChooser prefillEngineChooser,
		StreamAdmission admission, CompletionTimeEstimator completionTimes, RetryBudget retryBudget, TeamLimits limits,
		CrashSuspects suspects, GatewayMetrics metrics, RandomGenerator random, SecondAttempts secondAttempts) {

}
