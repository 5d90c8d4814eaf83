package org.skylarkstack.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.skylarkstack.hedging.SecondAttemptOutcome;
import org.skylarkstack.hedging.WithheldReason;

/**
 * Prometheus counters and latency histograms of a gateway daemon.
 */
public final class GatewayMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("skylarkstack_gateway_requests")
		.help("Requests of callers by route kind, status and error code")
		.labelNames("kind", "status", "code")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("skylarkstack_gateway_attempts")
		.help("Attempts at backend servers by stage and outcome")
		.labelNames("stage", "outcome")
		.register(this.registry);

	private final Counter storeCalls = Counter.builder()
		.name("skylarkstack_gateway_store_calls")
		.help("Calls of the platform's store by call and outcome")
		.labelNames("call", "outcome")
		.register(this.registry);

	private final Gauge storeEra = Gauge.builder()
		.name("skylarkstack_gateway_store_era")
		.help("Newest known era of the platform's store, -1 if unknown")
		.register(this.registry);

	private final Gauge configurationVersion = Gauge.builder()
		.name("skylarkstack_gateway_configuration_version")
		.help("Version of the configuration in force, and the newest version that this daemon or a peer has had")
		.labelNames("version")
		.register(this.registry);

	private final Histogram firstByteSeconds = Histogram.builder()
		.name("skylarkstack_gateway_first_byte_seconds")
		.help("Time from a whole request to the first byte of its answer")
		.labelNames("kind")
		.classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.6, 0.9, 1.5, 3, 6, 14)
		.classicOnly()
		.register(this.registry);

	private final Counter secondAttempts = Counter.builder()
		.name("skylarkstack_gateway_second_attempts")
		.help("Second attempts (hedged requests) by outcome")
		.labelNames("outcome")
		.register(this.registry);

	private final Counter secondAttemptsWithheld = Counter.builder()
		.name("skylarkstack_gateway_second_attempts_withheld")
		.help("Requests without a second attempt by reason")
		.labelNames("reason")
		.register(this.registry);

	/**
	 * Counts a request that has ended.
	 * @param kind the kind of its route, or {@code none}
	 * @param status the HTTP status that the caller got, or 0 if it got none
	 * @param code the error code, or 0 if there is no error
	 */
	public void request(String kind, int status, int code) {
		this.requests.labelValues(kind, String.valueOf(status), String.valueOf(code)).inc();
	}

	/**
	 * Counts an attempt at a backend server.
	 * @param stage the name of the stage, such as {@code prefill}
	 * @param outcome the HTTP status or the kind of failure that ended it
	 */
	public void attempt(String stage, String outcome) {
		this.attempts.labelValues(stage, outcome).inc();
	}

	/**
	 * Counts a second attempt that has ended.
	 * @param outcome its outcome
	 */
	public void secondAttempt(SecondAttemptOutcome outcome) {
		this.secondAttempts.labelValues(outcome.label()).inc();
	}

	/**
	 * Counts a request that gets no second attempt.
	 * @param reason the reason
	 */
	public void secondAttemptWithheld(WithheldReason reason) {
		this.secondAttemptsWithheld.labelValues(reason.label()).inc();
	}

	/**
	 * Counts a call to the platform's store.
	 * @param call the name of the call
	 * @param outcome how the call ended
	 */
	public void storeCall(String call, String outcome) {
		this.storeCalls.labelValues(call, outcome).inc();
	}

	/**
	 * Sets the era of the platform's store.
	 * @param era the newest known era, or -1 if no reply has stated one
	 */
	public void storeEra(long era) {
		this.storeEra.set(era);
	}

	/**
	 * Sets the versions of the configuration.
	 * @param inForce the version in force, or 0 if there is none
	 * @param newest the newest known version
	 */
	public void configurationVersion(long inForce, long newest) {
		this.configurationVersion.labelValues("in-force").set(inForce);
		this.configurationVersion.labelValues("newest-known").set(newest);
	}

	/**
	 * Records the time until the first byte of a response was sent.
	 * @param kind the kind of the route
	 * @param nanos the time since the request was completely received, in nanoseconds
	 */
	public void firstByte(String kind, long nanos) {
		this.firstByteSeconds.labelValues(kind).observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the metrics in the Prometheus text format
	 */
	public byte[] text() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			new PrometheusTextFormatWriter(false).write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

}
