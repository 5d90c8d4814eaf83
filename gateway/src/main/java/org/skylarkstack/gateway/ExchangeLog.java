package org.skylarkstack.gateway;

import org.skylarkstack.edge.RequestArrival;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Log events of admitted requests.
 */
final class ExchangeLog {

	private static final Logger log = LoggerFactory.getLogger(ExchangeLog.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private ExchangeLog() {
	}

	/**
	 * Logs the outcome of a request.
	 * @param exchange the request
	 * @param status the HTTP status that the caller gets
	 * @param code the error code, or 0 if there is no error
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	static void ended(Exchange exchange, int status, int code, long nowNanos) {
		ExchangeContext context = exchange.context();
		log.atInfo()
			.addKeyValue("event", "request-ended")
			.addKeyValue("id", context.facts().requestId())
			.addKeyValue("route", context.route().name())
			.addKeyValue("version", context.version())
			.addKeyValue("team", context.teamName())
			.addKeyValue("promptTokens", context.facts().promptTokens())
			.addKeyValue("outputTokens", context.facts().outputTokens())
			.addKeyValue("expectedTokens", context.facts().expectedOutputTokens())
			.addKeyValue("events", exchange.events())
			.addKeyValue("lastEvent", exchange.lastEvent())
			.addKeyValue("waitedMs", exchange.waitedMillis())
			.addKeyValue("firstEventMs", exchange.firstEventMillis())
			.addKeyValue("status", status)
			.addKeyValue("code", code)
			.addKeyValue("verdict", exchange.verdict().headerValue())
			.addKeyValue("attempts", exchange.attempts())
			.addKeyValue("secondAttempt", exchange.secondAttempt())
			.addKeyValue("server", exchange.serverId())
			.addKeyValue("ms", (nowNanos - context.arrivedNanos()) / NANOS_PER_MILLI)
			.log();
	}

	/**
	 * Logs that a request is open at the end of a stop.
	 * @param exchange the request
	 * @param stopNanos when the stop was requested, as monotonic time in nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	static void open(Exchange exchange, long stopNanos, long nowNanos) {
		ExchangeContext context = exchange.context();
		RequestArrival arrival = context.request().arrival();
		log.atWarn()
			.addKeyValue("event", "request-open-at-stop")
			.addKeyValue("id", context.facts().requestId())
			.addKeyValue("route", context.route().name())
			.addKeyValue("numberOnConnection", arrival.number())
			.addKeyValue("firstByteAfterStopMs", (arrival.firstByteNanos() - stopNanos) / NANOS_PER_MILLI)
			.addKeyValue("arrivedAfterStopMs", (context.arrivedNanos() - stopNanos) / NANOS_PER_MILLI)
			.addKeyValue("waitedMs", exchange.waitedMillis())
			.addKeyValue("firstEventMs", exchange.firstEventMillis())
			.addKeyValue("events", exchange.events())
			.addKeyValue("outputTokens", context.facts().outputTokens())
			.addKeyValue("attempts", exchange.attempts())
			.addKeyValue("mayBeRunning", exchange.mayBeRunning())
			.addKeyValue("verdict", exchange.verdict().headerValue())
			.addKeyValue("ms", (nowNanos - context.arrivedNanos()) / NANOS_PER_MILLI)
			.log();
	}

}
