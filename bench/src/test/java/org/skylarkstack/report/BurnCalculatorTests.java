package org.skylarkstack.report;

import java.net.URISyntaxException;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the service-level report on saved scrapes of two daemons. vm-1 runs throughout
 * the long window; vm-2 starts and restarts within it.
 */
class BurnCalculatorTests {

	private static final ServiceLevel LEVEL = new ServiceLevel(0.999, 0.95, 0.52, 0.051, Duration.ofMinutes(5),
			Duration.ofHours(1), 1);

	private final BurnReport report = new BurnCalculator(LEVEL).report(scrapes());

	private static List<Scrape> scrapes() {
		URL file = Objects
			.requireNonNull(BurnCalculatorTests.class.getResource("/org/skylarkstack/report/vm-1@1000000.prom"));
		try {
			return new ScrapeStore().load(Objects.requireNonNull(Path.of(file.toURI()).getParent()));
		}
		catch (URISyntaxException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private BurnRow row(BurnRow.Kind kind, String name) {
		return this.report.rows()
			.stream()
			.filter((row) -> row.kind() == kind && row.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no row " + name + " in " + this.report));
	}

	/**
	 * Guards against a burn rate over the wrong window and against errors of the caller
	 * that consume the budget.
	 */
	@Test
	void countsFailuresWithinTheWindows() {
		BurnRow row = row(BurnRow.Kind.DATA_CENTRE, "dc-a");
		assertThat(row.requests()).isEqualTo(10_000);
		assertThat(row.failed()).isEqualTo(100);
		assertThat(row.longBurn()).isWithin(1e-6).of(10);
		assertThat(row.shortBurn()).isWithin(1e-6).of(0);
		assertThat(row.causes()).isEqualTo(Map.of("failed", 100L));
		assertThat(row.state()).isEqualTo(BurnState.OK);
	}

	/**
	 * Guards against request counts that are lost or become negative when a restart
	 * resets the counters of a daemon.
	 */
	@Test
	void countsAcrossARestart() {
		BurnRow row = row(BurnRow.Kind.DATA_CENTRE, "dc-b");
		assertThat(row.requests()).isEqualTo(300);
		assertThat(row.failed()).isEqualTo(140);
		assertThat(row.state()).isEqualTo(BurnState.ACT_NOW);
		assertThat(this.report.state()).isEqualTo(BurnState.ACT_NOW);
	}

	/**
	 * Guards against late tokens that count as within the target, and against tokens of
	 * batch requests in the latency objective.
	 */
	@Test
	void countsLateFirstTokensOfInteractiveRequests() {
		BurnRow row = row(BurnRow.Kind.LATENCY, "first token");
		assertThat(row.requests()).isEqualTo(200);
		assertThat(row.failed()).isEqualTo(20);
		assertThat(row.shortBurn()).isWithin(1e-6).of(2);
		assertThat(row.longBurn()).isWithin(1e-6).of(2);
		assertThat(row.state()).isEqualTo(BurnState.WATCH);
	}

	/**
	 * Guards against a report with one row for each of 40,000 teams, and against teams
	 * that the sum omits.
	 */
	@Test
	void showsLargestAndWorstTeamsAndSumsTheRest() {
		List<BurnRow> teams = this.report.rows().stream().filter((row) -> row.kind() == BurnRow.Kind.TEAM).toList();
		assertThat(teams.stream().map(BurnRow::name).toList())
			.containsExactly("a \"quoted\" \\ team", "north", "all others")
			.inOrder();
		assertThat(teams.get(2).requests()).isEqualTo(13);
		assertThat(teams.get(2).causes()).isEqualTo(Map.of("overloaded", 3L));
	}

	/**
	 * Guards against an empty report if there is only one scrape and no earlier one to
	 * compute increases from.
	 */
	@Test
	void singleScrapeCountsFromDaemonStart() {
		BurnReport first = new BurnCalculator(LEVEL)
			.report(scrapes().stream().filter((scrape) -> scrape.epochMillis() == 1_000_000).toList());
		assertThat(first.longSeconds()).isEqualTo(0);
		assertThat(first.rows().get(0).requests()).isEqualTo(1_500);
	}

	/** Guards against two names that are one in the table, or that end a line of it. */
	@Test
	void differentNamesHaveDifferentRows() {
		List<String> names = List.of("m", "m ", " m", "m  m", "m m", "m\tm", "m\"", "\"m\"", "\u017d", "\u0160");
		List<BurnRow> rows = names.stream()
			.map((name) -> new BurnRow(BurnRow.Kind.TEAM, name, 1, 0, 1, 0, 0, Map.of(), BurnState.OK))
			.toList();
		String text = BurnReportWriter.text(new BurnReport(1, 1, 1, 1, rows));
		List<String> lines = text.lines().skip(4).toList();
		assertThat(lines).hasSize(names.size());
		assertThat(Set.copyOf(lines.stream().map((line) -> line.replaceAll(" +", " ")).toList())).hasSize(names.size());
	}

	/** Guards against a name with a line break that makes a scrape unreadable. */
	@Test
	void labelsMayContainLineBreaks() {
		String text = "requests{team=\"a\rb\"} 1\nrequests{team=\"a\u2028b\"} 2\nrequests{team=\"a\\nb\"} 3\n";
		assertThat(PrometheusTextParser.parse(text).stream().map((sample) -> sample.labels().get("team")).toList())
			.containsExactly("a\rb", "a\u2028b", "a\nb")
			.inOrder();
	}

	/** Guards against output without the state or the causes. */
	@Test
	void writesTextJsonAndPage(@TempDir Path directory) throws java.io.IOException {
		assertThat(BurnReportWriter.text(this.report)).contains("overloaded 140");
		assertThat(BurnReportWriter.text(this.report).lines().count()).isLessThan(30);
		Path page = BurnReportWriter.write(this.report, directory);
		assertThat(Files.readString(page)).contains("data:image/png;base64,iVBOR");
		assertThat(Files.readString(directory.resolve("burn.json"))).contains("\"ACT_NOW\"");
	}

	/** Guards against a malformed line that is ignored without an error. */
	@Test
	void rejectsMalformedText() {
		IllegalArgumentException failure = null;
		try {
			PrometheusTextParser.parse("metric{label=\"open} 1");
		}
		catch (IllegalArgumentException ex) {
			failure = ex;
		}
		assertThat(failure).isNotNull();
	}

}
