package org.skylarkstack.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.skylarkstack.schedule.RequestClass;

/**
 * Metrics of one daemon. Every label has a bounded number of values.
 */
public final class RouterMetrics {

	/** Content type of {@link #scrape()}. */
	public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final int MAX_TEAM_LABELS = 50;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double[] FIRST_TOKEN_BUCKETS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.52, 0.75, 1, 2, 5,
			30 };

	private static final double[] TOKEN_GAP_BUCKETS = { 0.005, 0.01, 0.02, 0.03, 0.04, 0.051, 0.075, 0.1, 0.25, 0.5, 1,
			2 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final TeamLabels teams = new TeamLabels(MAX_TEAM_LABELS);

	private final String dataCentre;

	private final Counter requests;

	private final Counter teamRequests;

	private final Histogram firstToken;

	private final Histogram tokenGap;

	/**
	 * Creates the metrics.
	 * @param dataCentre the data centre of this VM
	 */
	public RouterMetrics(String dataCentre) {
		this.dataCentre = dataCentre;
		this.requests = Counter.builder()
			.name("skylark_requests_total")
			.help("Requests by outcome.")
			.labelNames("data_centre", "service", "class", "outcome")
			.register(this.registry);
		this.teamRequests = Counter.builder()
			.name("skylark_team_requests_total")
			.help("Requests of a bounded set of teams by outcome.")
			.labelNames("team", "outcome")
			.register(this.registry);
		this.firstToken = Histogram.builder()
			.name("skylark_first_token_seconds")
			.help("Time from the request to its first token.")
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(FIRST_TOKEN_BUCKETS)
			.register(this.registry);
		this.tokenGap = Histogram.builder()
			.name("skylark_token_gap_seconds")
			.help("Time between two output tokens.")
			.classicOnly()
			.classicUpperBounds(TOKEN_GAP_BUCKETS)
			.register(this.registry);
	}

	/**
	 * Counts a finished request.
	 * @param service the id of the plain service or model as in the configuration
	 * @param requestClass the request class
	 * @param teamId the team id, or an empty string on routes without authentication
	 * @param outcome the outcome
	 */
	public void request(String service, RequestClass requestClass, String teamId, RequestOutcome outcome) {
		this.requests
			.labelValues(this.dataCentre, service, requestClass.name().toLowerCase(Locale.ROOT), outcome.label())
			.inc();
		if (!teamId.isEmpty()) {
			this.teamRequests.labelValues(this.teams.label(teamId), outcome.label()).inc();
		}
	}

	/**
	 * Records the time to the first token.
	 * @param requestClass the request class
	 * @param nanos the time in nanoseconds
	 */
	public void firstToken(RequestClass requestClass, long nanos) {
		this.firstToken.labelValues(requestClass.name().toLowerCase(Locale.ROOT)).observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Records the time between two tokens.
	 * @param nanos the time in nanoseconds
	 */
	public void tokenGap(long nanos) {
		this.tokenGap.observe(nanos / NANOS_PER_SECOND);
	}

	/**
	 * Registers a gauge whose value is read at each scrape.
	 * @param name the metric name
	 * @param help the help text of the metric
	 * @param value reads the value
	 */
	public void gauge(String name, String help, LongSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(this.registry);
	}

	/**
	 * Registers a counter whose value is read at each scrape.
	 * @param name the metric name
	 * @param help the help text of the metric
	 * @param value reads the value, which must never decrease
	 */
	public void counter(String name, String help, LongSupplier value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String scrape() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(output, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return output.toString(StandardCharsets.UTF_8);
	}

}
