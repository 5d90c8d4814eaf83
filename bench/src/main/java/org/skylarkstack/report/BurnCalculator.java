package org.skylarkstack.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

import org.skylarkstack.metrics.RequestOutcome;

/**
 * Computes the service-level report from scrapes.
 *
 * <p>
 * Outcomes that the caller causes (rate limited, rejected, cancelled) count neither as
 * requests nor as failures. First tokens count for interactive requests only; gaps
 * between tokens count for all requests, because their histogram has no {@code class}
 * label. The teams that have their own series and the series {@code team="other"}
 * together cover all teams.
 */
public final class BurnCalculator {

	private static final String REQUESTS = "skylark_requests_total";

	private static final String TEAM_REQUESTS = "skylark_team_requests_total";

	private static final String OTHER_TEAMS = "other";

	private static final String INTERACTIVE = "interactive";

	private static final int MAX_CAUSES = 3;

	private static final Set<String> CALLER_OUTCOMES = Set.of(RequestOutcome.RATE_LIMITED.label(),
			RequestOutcome.REJECTED.label(), RequestOutcome.CANCELLED.label());

	private static final String SUCCESS = RequestOutcome.ANSWERED.label();

	private final ServiceLevel level;

	/**
	 * Creates a calculator.
	 * @param level the objectives and windows of the report
	 */
	public BurnCalculator(ServiceLevel level) {
		this.level = level;
	}

	/**
	 * Computes the report.
	 * @param scrapes the scrapes of all daemons in any order
	 * @return the report at the time of the last scrape
	 */
	public BurnReport report(List<Scrape> scrapes) {
		CounterIncreases increases = new CounterIncreases(scrapes);
		List<BurnRow> rows = new ArrayList<>();
		rows.addAll(sorted(failureRows(increases, BurnRow.Kind.DATA_CENTRE, REQUESTS, "data_centre")));
		rows.addAll(sorted(failureRows(increases, BurnRow.Kind.SERVICE, REQUESTS, "service")));
		rows.addAll(
				latencyRows(increases, "first token", "skylark_first_token_seconds", this.level.firstTokenSeconds()));
		rows.addAll(
				latencyRows(increases, "between tokens", "skylark_token_gap_seconds", this.level.tokenGapSeconds()));
		rows.addAll(limitTeams(failureRows(increases, BurnRow.Kind.TEAM, TEAM_REQUESTS, "team")));
		int daemons = (int) scrapes.stream().map(Scrape::source).distinct().count();
		return new BurnReport(increases.lastMillis(), daemons,
				increases.coveredMillis(this.level.shortWindow().toMillis()) / 1_000,
				increases.coveredMillis(this.level.longWindow().toMillis()) / 1_000, rows);
	}

	private static List<BurnRow> sorted(List<BurnRow> rows) {
		return rows.stream()
			.sorted(Comparator.comparing(BurnRow::state)
				.thenComparingDouble(BurnRow::longBurn)
				.reversed()
				.thenComparing(BurnRow::name))
			.toList();
	}

	private List<BurnRow> failureRows(CounterIncreases increases, BurnRow.Kind kind, String counter, String label) {
		Map<String, Map<String, Double>> shortOutcomes = outcomes(
				increases.of(counter, this.level.shortWindow().toMillis()), label);
		Map<String, Map<String, Double>> longOutcomes = outcomes(
				increases.of(counter, this.level.longWindow().toMillis()), label);
		List<BurnRow> rows = new ArrayList<>();
		longOutcomes.forEach((name, outcomes) -> rows
			.add(row(kind, name, shortOutcomes.getOrDefault(name, Map.of()), outcomes, this.level.success())));
		return rows;
	}

	private static Map<String, Map<String, Double>> outcomes(Map<Map<String, String>, Double> increases, String label) {
		Map<String, Map<String, Double>> outcomes = new TreeMap<>();
		increases.forEach((labels, increase) -> {
			String outcome = labels.getOrDefault("outcome", "");
			if (!CALLER_OUTCOMES.contains(outcome)) {
				outcomes.computeIfAbsent(labels.getOrDefault(label, ""), (name) -> new TreeMap<>())
					.merge(outcome, increase, Double::sum);
			}
		});
		return outcomes;
	}

	private static BurnRow row(BurnRow.Kind kind, String name, Map<String, Double> shortOutcomes,
			Map<String, Double> longOutcomes, double objective) {
		double requests = sum(longOutcomes, (outcome) -> true);
		double failed = sum(longOutcomes, (outcome) -> !SUCCESS.equals(outcome));
		double shortBurn = burn(sum(shortOutcomes, (outcome) -> !SUCCESS.equals(outcome)),
				sum(shortOutcomes, (outcome) -> true), objective);
		double longBurn = burn(failed, requests, objective);
		return new BurnRow(kind, name, Math.round(requests), Math.round(failed), requests * (1 - objective), shortBurn,
				longBurn, causes(longOutcomes), BurnState.of(shortBurn, longBurn));
	}

	private static double sum(Map<String, Double> outcomes, Predicate<String> filter) {
		return outcomes.entrySet()
			.stream()
			.filter((entry) -> filter.test(entry.getKey()))
			.mapToDouble(Map.Entry::getValue)
			.sum();
	}

	private static double burn(double failed, double requests, double objective) {
		return (requests > 0) ? failed / requests / (1 - objective) : 0;
	}

	private static Map<String, Long> causes(Map<String, Double> outcomes) {
		Map<String, Long> causes = new LinkedHashMap<>();
		outcomes.entrySet()
			.stream()
			.filter((entry) -> !SUCCESS.equals(entry.getKey()) && Math.round(entry.getValue()) > 0)
			.sorted(Map.Entry.<String, Double>comparingByValue().reversed())
			.limit(MAX_CAUSES)
			.forEach((entry) -> causes.put(entry.getKey(), Math.round(entry.getValue())));
		return causes;
	}

	private List<BurnRow> limitTeams(List<BurnRow> teams) {
		// Shows the teams with the most requests or the highest burn rate and sums the
		// others, so that the report stays short with 40,000 teams.
		Set<String> shown = new HashSet<>();
		Function<Comparator<BurnRow>, List<String>> topNames = (order) -> teams.stream()
			.filter((row) -> !OTHER_TEAMS.equals(row.name()))
			.sorted(order.reversed().thenComparing(BurnRow::name))
			.limit(this.level.teams())
			.map(BurnRow::name)
			.toList();
		shown.addAll(topNames.apply(Comparator.comparingLong(BurnRow::requests)));
		shown.addAll(topNames.apply(Comparator.comparingDouble(BurnRow::longBurn)));
		List<BurnRow> rows = new ArrayList<>(
				sorted(teams.stream().filter((row) -> shown.contains(row.name())).toList()));
		teams.stream()
			.filter((row) -> !shown.contains(row.name()))
			.reduce(this::merge)
			.ifPresent((rest) -> rows.add(new BurnRow(rest.kind(), "all others", rest.requests(), rest.failed(),
					rest.budget(), rest.shortBurn(), rest.longBurn(), rest.causes(), rest.state())));
		return rows;
	}

	private BurnRow merge(BurnRow row, BurnRow other) {
		long requests = row.requests() + other.requests();
		long failed = row.failed() + other.failed();
		double longBurn = burn((double) failed, (double) requests, this.level.success());
		// Weighted by the requests of the long window, because a row does not contain the
		// requests of the short window.
		double shortBurn = (requests > 0)
				? (row.shortBurn() * row.requests() + other.shortBurn() * other.requests()) / requests : 0;
		Map<String, Double> outcomes = new TreeMap<>();
		row.causes().forEach((cause, count) -> outcomes.merge(cause, (double) count, Double::sum));
		other.causes().forEach((cause, count) -> outcomes.merge(cause, (double) count, Double::sum));
		return new BurnRow(row.kind(), row.name(), requests, failed, row.budget() + other.budget(), shortBurn, longBurn,
				causes(outcomes), BurnState.of(shortBurn, longBurn));
	}

	private List<BurnRow> latencyRows(CounterIncreases increases, String name, String histogram, double targetSeconds) {
		Map<String, Map<String, Double>> shortOutcomes = latencyOutcomes(
				increases.of(histogram + "_bucket", this.level.shortWindow().toMillis()), targetSeconds);
		Map<String, Map<String, Double>> longOutcomes = latencyOutcomes(
				increases.of(histogram + "_bucket", this.level.longWindow().toMillis()), targetSeconds);
		List<BurnRow> rows = new ArrayList<>();
		longOutcomes.forEach((dataCentre, outcomes) -> rows
			.add(row(BurnRow.Kind.LATENCY, dataCentre.isEmpty() ? name : name + " in " + dataCentre,
					shortOutcomes.getOrDefault(dataCentre, Map.of()), outcomes, this.level.fast())));
		return sorted(rows);
	}

	private static Map<String, Map<String, Double>> latencyOutcomes(Map<Map<String, String>, Double> buckets,
			double target) {
		Map<String, TreeMap<Double, Double>> byDataCentre = new TreeMap<>();
		buckets.forEach((labels, increase) -> {
			if (!INTERACTIVE.equals(labels.getOrDefault("class", INTERACTIVE))) {
				return;
			}
			String bound = labels.getOrDefault("le", "+Inf");
			double upperBound = "+Inf".equals(bound) ? Double.POSITIVE_INFINITY : Double.parseDouble(bound);
			byDataCentre.computeIfAbsent(labels.getOrDefault("data_centre", ""), (dataCentre) -> new TreeMap<>())
				.merge(upperBound, increase, Double::sum);
		});
		Map<String, Map<String, Double>> latencyOutcomes = new TreeMap<>();
		byDataCentre.forEach((dataCentre, bounds) -> {
			// Uses the highest bucket bound that does not exceed the target, so that a
			// token that misses the target never counts as within it.
			Map.Entry<Double, Double> bucket = bounds.floorEntry(target);
			double withinTarget = (bucket != null) ? bucket.getValue() : 0;
			double all = bounds.getOrDefault(Double.POSITIVE_INFINITY, withinTarget);
			latencyOutcomes.put(dataCentre, Map.of(SUCCESS, withinTarget, "later than %s s".formatted(target),
					Math.max(0, all - withinTarget)));
		});
		return latencyOutcomes;
	}

}
