package org.skylarkstack.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Writes results as JSON, plots and an HTML report.
 */
public final class ResultWriter {

	private static final int PLOT_WIDTH = 720;

	private static final int PLOT_HEIGHT = 360;

	private final Path directory;

	/**
	 * Creates a writer.
	 * @param directory the output directory, which is created if needed
	 */
	public ResultWriter(Path directory) {
		this.directory = directory;
	}

	/**
	 * Writes {@code results.json}, the plots and {@code report.html}.
	 * @param results the results
	 * @return the path of the HTML report
	 */
	public Path write(BenchResults results) {
		try {
			Files.createDirectories(this.directory);
			new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
				.writeValue(this.directory.resolve("results.json").toFile(), results);
			List<String> images = List.of(plot(results, "goodput", "completions/s within targets", RunFigures::goodput),
					plot(results, "first-token-p99", "first token p99 in ms", RunFigures::firstTokenP99Millis),
					plot(results, "wasted-prefill", "wasted prefill in %", (figures) -> 100 * figures.wastedPrefill()),
					plot(results, "worst-service", "worst team's service / fair share", RunFigures::worstService));
			Path page = this.directory.resolve("report.html");
			Files.writeString(page, html(results, images), StandardCharsets.UTF_8);
			return page;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String plot(BenchResults results, String name, String label, ToDoubleFunction<RunFigures> figure)
			throws IOException {
		XYChart chart = new XYChartBuilder().width(PLOT_WIDTH)
			.height(PLOT_HEIGHT)
			.title(label)
			.xAxisTitle("load as a factor of the measured capacity")
			.yAxisTitle(label)
			.build();
		for (String policy : policies(results)) {
			List<Double> loads = new ArrayList<>();
			List<Double> means = new ArrayList<>();
			List<Double> spreads = new ArrayList<>();
			for (double load : loads(results)) {
				Spread spread = spread(results, policy, load, figure);
				loads.add(load);
				means.add(spread.mean());
				spreads.add((spread.highest() - spread.lowest()) / 2);
			}
			chart.addSeries(policy, loads, means, spreads);
		}
		Path file = this.directory.resolve(name + ".png");
		BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
		return Base64.getEncoder().encodeToString(Files.readAllBytes(file));
	}

	private static List<String> policies(BenchResults results) {
		return results.runs().stream().map(RunResult::policy).distinct().toList();
	}

	private static List<Double> loads(BenchResults results) {
		return results.runs().stream().map(RunResult::load).distinct().sorted().toList();
	}

	private static Spread spread(BenchResults results, String policy, double load,
			ToDoubleFunction<RunFigures> figure) {
		double[] values = results.runs()
			.stream()
			.filter((run) -> run.policy().equals(policy) && run.load() == load)
			.mapToDouble((run) -> figure.applyAsDouble(run.figures()))
			.toArray();
		return Spread.of(values);
	}

	/**
	 * Formats results as a text table.
	 * @param results the results
	 * @return the table, followed by the errors and the direct comparison
	 */
	public static String text(BenchResults results) {
		StringBuilder text = new StringBuilder("%-18s %5s %18s %16s %16s %10s %14s %9s%n".formatted("policy", "load",
				"goodput/s", "wasted prefill", "worst service", "refused", "first p99 ms", "breaches"));
		for (double load : loads(results)) {
			for (String policy : policies(results)) {
				text.append(String.format(Locale.ROOT, "%-18s %5.2f %18s %16s %16s %10s %14s %9.0f%n", policy, load,
						spread(results, policy, load, RunFigures::goodput),
						spread(results, policy, load, RunFigures::wastedPrefill),
						spread(results, policy, load, RunFigures::worstService),
						spread(results, policy, load, RunFigures::wrongRefusalShare),
						spread(results, policy, load, RunFigures::firstTokenP99Millis),
						spread(results, policy, load, (figures) -> figures.breaches().total()).highest()));
			}
		}
		for (String policy : policies(results)) {
			text.append("not answered whole with ")
				.append(policy)
				.append(": ")
				.append(errors(results, policy))
				.append('\n');
		}
		DirectFigures direct = results.direct();
		if (direct != null) {
			text.append(directText(direct));
		}
		return text.toString();
	}

	private static Map<String, Long> errors(BenchResults results, String policy) {
		Map<String, Long> errors = new TreeMap<>();
		results.runs()
			.stream()
			.filter((run) -> run.policy().equals(policy))
			.forEach((run) -> run.figures().errors().forEach((error, times) -> errors.merge(error, times, Long::sum)));
		return errors;
	}

	private static String directText(DirectFigures direct) {
		return String.format(Locale.ROOT,
				"added to the first token: median %.2f ms, p99 %.2f ms; between tokens: median %.3f ms, p99 %.3f ms%n"
						+ "CPU for a token: %.1f us direct, %.1f us routed, %.1f us in daemon threads; relayed tokens/s and core: %.0f%n"
						+ "heap for each of %d open streams: %d bytes direct, %d bytes routed%n",
				direct.addedFirstTokenMedianMillis(), direct.addedFirstTokenP99Millis(), direct.addedGapMedianMillis(),
				direct.addedGapP99Millis(), direct.directCpuMicrosPerToken(), direct.routedCpuMicrosPerToken(),
				direct.daemonCpuMicrosPerToken(), direct.tokensPerSecondAndCore(), direct.openStreams(),
				direct.directHeapBytesPerStream(), direct.routedHeapBytesPerStream());
	}

	private static String html(BenchResults results, List<String> images) {
		StringBuilder page = new StringBuilder("""
				<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>skylarkstack bench</title><style>
				body{font:15px sans-serif;margin:2em;max-width:90em}td,th{padding:.2em .8em;text-align:right}
				td:first-child,th:first-child{text-align:left}.bad{color:#a00;font-weight:bold}
				table{border-collapse:collapse}tr:nth-child(even){background:#eee}</style></head><body>
				""");
		page.append(String.format(Locale.ROOT,
				"<h1>Bench of %s</h1><p>Seed %d, runs of %.0f s, capacity %.1f requests/s measured with %s. Figures are "
						+ "means of the repeats with lowest and highest.</p>",
				results.deployment(), results.seed(), results.seconds(), results.capacity(), results.capacityPolicy()));
		page.append("<pre>").append(text(results)).append("</pre><h2>Breaches of invariants</h2><table>");
		page.append("<tr><th>invariant</th><th>sum over all runs</th></tr>");
		if (!results.runs().isEmpty()) {
			for (String name : results.runs().get(0).figures().breaches().byName().keySet()) {
				long sum = results.runs()
					.stream()
					.mapToLong((run) -> run.figures().breaches().byName().getOrDefault(name, 0L))
					.sum();
				page.append(
						"<tr><td>%s</td><td%s>%d</td></tr>".formatted(name, (sum > 0) ? " class=\"bad\"" : "", sum));
			}
		}
		page.append("</table><h2>Plots</h2>");
		images.forEach(
				(image) -> page.append("<img alt=\"plot\" src=\"data:image/png;base64,").append(image).append("\">"));
		return page.append("</body></html>\n").toString();
	}

	private record Spread(double mean, double lowest, double highest) {

		static Spread of(double[] values) {
			java.util.DoubleSummaryStatistics statistics = java.util.Arrays.stream(values).summaryStatistics();
			return (values.length == 0) ? new Spread(0, 0, 0)
					: new Spread(statistics.getAverage(), statistics.getMin(), statistics.getMax());
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "%.3g (%.3g-%.3g)", this.mean, this.lowest, this.highest);
		}

	}

}
