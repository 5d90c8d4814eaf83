package org.skylarkstack.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.skylarkstack.text.QuotedText;

/**
 * Writes a service-level report as text, JSON or an HTML page.
 */
public final class BurnReportWriter {

	private static final int PLOT_WIDTH = 900;

	private static final int PLOT_HEIGHT = 360;

	private BurnReportWriter() {
	}

	/**
	 * Formats a report as a table in plain text.
	 * @param report the report
	 * @return the text, which ends with a line break
	 */
	public static String text(BurnReport report) {
		StringBuilder text = new StringBuilder(summary(report)).append('\n');
		text.append("Burn 1.0 uses the budget up exactly; above 1 it does not last.\n");
		BurnRow.Kind kind = null;
		for (BurnRow row : report.rows()) {
			if (row.kind() != kind) {
				kind = row.kind();
				text.append(String.format(Locale.ROOT, "%n%-28s %-8s %10s %8s %10s %8s %8s  %s%n", title(kind), "state",
						(kind == BurnRow.Kind.LATENCY) ? "tokens" : "requests", "missed", "budget left", "short",
						"long", "what burned it"));
			}
			text.append(String.format(Locale.ROOT, "%-28s %-8s %10d %8d %11.0f %8.1f %8.1f  %s%n", shown(row.name()),
					row.state(), row.requests(), row.failed(), row.budget() - row.failed(), row.shortBurn(),
					row.longBurn(), causes(row)));
		}
		return text.toString();
	}

	// The columns are separated by spaces, and a line ends at any line break.
	private static String shown(String name) {
		boolean plain = name.equals(name.strip()) && !name.contains("  ")
				&& QuotedText.of(name).equals('"' + name + '"');
		return plain ? name : QuotedText.of(name);
	}

	private static String summary(BurnReport report) {
		String coverage = (report.longSeconds() == 0) ? "since the daemons started"
				: "windows of %d s and %d s".formatted(report.shortSeconds(), report.longSeconds());
		long urgent = report.rows().stream().filter((row) -> row.state() != BurnState.OK).count();
		return "%s: %d of %d budgets burn too fast; %d daemons, %s, last scrape %s".formatted(report.state(), urgent,
				report.rows().size(), report.daemons(), coverage, Instant.ofEpochMilli(report.atMillis()));
	}

	private static String title(BurnRow.Kind kind) {
		return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

	private static String causes(BurnRow row) {
		return row.causes()
			.entrySet()
			.stream()
			.map((cause) -> cause.getKey() + " " + cause.getValue())
			.collect(Collectors.joining(", "));
	}

	/**
	 * Formats a report as JSON.
	 * @param report the report
	 * @return the indented JSON document
	 */
	public static String json(BurnReport report) {
		try {
			return new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes {@code burn.json}, {@code burn.html} and {@code burn.png}.
	 * @param report the report
	 * @param directory the output directory, which is created if it does not exist
	 * @return the path of {@code burn.html}
	 */
	public static Path write(BurnReport report, Path directory) {
		try {
			Files.createDirectories(directory);
			Files.writeString(directory.resolve("burn.json"), json(report));
			Path image = directory.resolve("burn.png");
			if (!report.rows().isEmpty()) {
				BitmapEncoder.saveBitmap(chart(report), image.toString(), BitmapEncoder.BitmapFormat.PNG);
			}
			Path page = directory.resolve("burn.html");
			Files.writeString(page, html(report, image), StandardCharsets.UTF_8);
			return page;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static CategoryChart chart(BurnReport report) {
		CategoryChart chart = new CategoryChartBuilder().width(PLOT_WIDTH)
			.height(PLOT_HEIGHT)
			.title("burn; above 1 the budget does not last")
			.yAxisTitle("burn")
			.build();
		chart.getStyler().setXAxisLabelRotation(30);
		List<String> names = report.rows().stream().map((row) -> title(row.kind()) + " " + row.name()).toList();
		chart.addSeries("short window", names, report.rows().stream().map(BurnRow::shortBurn).toList());
		chart.addSeries("long window", names, report.rows().stream().map(BurnRow::longBurn).toList());
		return chart;
	}

	private static String html(BurnReport report, Path image) throws IOException {
		StringBuilder page = new StringBuilder("""
				<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>skylarkstack service levels</title>
				<style>body{font:15px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}
				td:first-child,th:first-child,td:last-child,th:last-child{text-align:left}
				table{border-collapse:collapse}.WATCH{background:#ffd}.ACT_NOW{background:#fcc}</style></head><body>
				""");
		page.append("<h1>Service levels</h1><p>").append(escape(summary(report))).append("</p><table>");
		page.append("<tr><th>budget</th><th>state</th><th>counted</th><th>missed</th><th>budget left</th>");
		page.append("<th>short burn</th><th>long burn</th><th>what burned it</th></tr>");
		for (BurnRow row : report.rows()) {
			page.append(String.format(Locale.ROOT,
					"<tr class=\"%s\"><td>%s %s</td><td>%s</td><td>%d</td><td>%d</td><td>%.0f</td><td>%.1f</td>"
							+ "<td>%.1f</td><td>%s</td></tr>%n",
					row.state(), title(row.kind()), escape(row.name()), row.state(), row.requests(), row.failed(),
					row.budget() - row.failed(), row.shortBurn(), row.longBurn(), escape(causes(row))));
		}
		page.append("</table>");
		if (Files.exists(image)) {
			page.append("<img alt=\"burn\" src=\"data:image/png;base64,")
				.append(Base64.getEncoder().encodeToString(Files.readAllBytes(image)))
				.append("\">");
		}
		return page.append("</body></html>\n").toString();
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

}
