package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.standin.EngineWorkCounts;
import org.skylarkstack.standin.RecordedRequest;

/**
 * Computes the figures of a run from the outcomes observed by callers and the work done
 * by backend servers.
 */
final class FigureCalculator {

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Cost of an output token in units of prompt tokens, in a full batch of the
	 * deployments' engines: 38.6 ms / 20 requests for an output token, 33 microseconds
	 * for a prompt token.
	 */
	private static final double OUTPUT_TOKEN_COST = 58;

	private final List<Team> teams;

	private final List<Outcome> outcomes;

	private final Map<String, EngineWorkCounts> workCounts;

	private final Map<String, Long> effects;

	private final double seconds;

	/**
	 * Creates a calculator.
	 * @param teams the teams with their limits
	 * @param outcomes the outcomes of all requests
	 * @param workCounts the work done by engines, by request tag
	 * @param effects the number of times that each entry took effect, by request tag
	 * @param seconds the duration of the run in seconds
	 */
	FigureCalculator(List<Team> teams, List<Outcome> outcomes, Map<String, EngineWorkCounts> workCounts,
			Map<String, Long> effects, double seconds) {
		this.teams = teams;
		this.outcomes = outcomes;
		this.workCounts = workCounts;
		this.effects = effects;
		this.seconds = seconds;
	}

	static Map<String, Long> effectsByTag(List<RecordedRequest> effects) {
		return effects.stream()
			.collect(Collectors.groupingBy((effect) -> effect.body().replaceAll(".*\"entry\":\"([^\"]*)\".*", "$1"),
					Collectors.counting()));
	}

	RunFigures figures(Histogram gaps, long heldAfterEnd, long keysSeen) {
		List<Outcome> withinTargets = this.outcomes.stream()
			.filter(Outcome::isCompletion)
			.filter(Outcome::meetsTargets)
			.toList();
		long wasted = wastedPrefillTokens();
		long prefilled = this.workCounts.values().stream().mapToLong(EngineWorkCounts::prefilledTokens).sum();
		Map.Entry<String, Double> worst = worstService();
		long wrongRefusals = this.teams.stream().mapToLong((team) -> ledger(team).wrongRefusals()).sum();
		Histogram firstTokenTimes = firstTokenTimes();
		return new RunFigures(this.outcomes.size(), withinTargets.size() / this.seconds,
				withinTargets.stream().mapToLong(Outcome::tokens).sum() / this.seconds,
				share(count(Outcome::isComplete)), wasted, (prefilled > 0) ? (double) wasted / prefilled : 0,
				worst.getKey(), worst.getValue(), wrongRefusals, share(wrongRefusals),
				firstTokenTimes.getValueAtPercentile(50) / NANOS_PER_MILLI,
				firstTokenTimes.getValueAtPercentile(99) / NANOS_PER_MILLI,
				gaps.getValueAtPercentile(50) / NANOS_PER_MILLI, gaps.getValueAtPercentile(99) / NANOS_PER_MILLI,
				errors(), breaches(heldAfterEnd, keysSeen));
	}

	private long count(Predicate<Outcome> filter) {
		return this.outcomes.stream().filter(filter).count();
	}

	private double share(long count) {
		return this.outcomes.isEmpty() ? 0 : (double) count / this.outcomes.size();
	}

	private TokenLedger ledger(Team team) {
		return new TokenLedger(team, outcomesOf(team));
	}

	private List<Outcome> outcomesOf(Team team) {
		return this.outcomes.stream().filter((outcome) -> outcome.arrival().team().id().equals(team.id())).toList();
	}

	private Histogram firstTokenTimes() {
		Histogram firstTokenTimes = new Histogram(LoadRunner.MAX_TRACKABLE_NANOS, 3);
		this.outcomes.stream()
			.filter((outcome) -> outcome.isCompletion() && outcome.firstTokenNanos() > 0)
			.filter((outcome) -> !outcome.arrival().kind().requestClass().mayExceedFirstTokenTarget())
			.forEach((outcome) -> firstTokenTimes
				.recordValue(Math.max(0, outcome.firstTokenNanos() - outcome.sentNanos())));
		return firstTokenTimes;
	}

	private long wastedPrefillTokens() {
		long wasted = 0;
		Map<String, Outcome> byTag = new HashMap<>();
		this.outcomes.forEach((outcome) -> byTag.put(outcome.tag(), outcome));
		for (Map.Entry<String, EngineWorkCounts> entry : this.workCounts.entrySet()) {
			EngineWorkCounts counts = entry.getValue();
			Outcome outcome = byTag.get(entry.getKey());
			boolean delivered = outcome != null && outcome.isComplete();
			if (!delivered) {
				wasted += counts.prefilledTokens();
			}
			else if (counts.prefills() > 1) {
				wasted += counts.prefilledTokens() * (counts.prefills() - 1) / counts.prefills();
			}
		}
		return wasted;
	}

	private Map.Entry<String, Double> worstService() {
		Map<String, Double> demands = new TreeMap<>();
		Map<String, Double> served = new HashMap<>();
		Map<String, Double> weights = new HashMap<>();
		for (Team team : this.teams) {
			double requestedCost = 0;
			double requestedTokens = 0;
			double servedCost = 0;
			for (Outcome outcome : outcomesOf(team)) {
				if (outcome.isCompletion()) {
					double cost = outcome.arrival().promptTokens()
							+ OUTPUT_TOKEN_COST * outcome.arrival().outputTokens();
					requestedCost += cost;
					requestedTokens += outcome.arrival().promptTokens() + outcome.arrival().outputTokens();
					servedCost += outcome.isComplete() ? cost : 0;
				}
			}
			double permittedTokens = team.tokensPerSecond() * this.seconds + team.burstTokens();
			demands.put(team.id(), (requestedTokens > permittedTokens)
					? requestedCost * permittedTokens / requestedTokens : requestedCost);
			served.put(team.id(), servedCost);
			weights.put(team.id(), team.weight());
		}
		double total = served.values().stream().mapToDouble(Double::doubleValue).sum();
		Map<String, Double> fair = FairShare.divide(total, demands, weights);
		Map.Entry<String, Double> worst = Map.entry("", 1.0);
		for (String team : demands.keySet()) {
			double fairService = fair.getOrDefault(team, 0.0);
			double ratio = (fairService > 0) ? served.getOrDefault(team, 0.0) / fairService : 1;
			if (worst.getKey().isEmpty() || ratio < worst.getValue()) {
				worst = Map.entry(team, ratio);
			}
		}
		return worst;
	}

	private Map<String, Long> errors() {
		return this.outcomes.stream()
			.filter((outcome) -> !outcome.isComplete())
			.collect(Collectors.groupingBy(
					(outcome) -> outcome.error().isEmpty() ? "status " + outcome.status() : outcome.error(),
					Collectors.counting()));
	}

	private Breaches breaches(long heldAfterEnd, long keysSeen) {
		long excess = this.teams.stream().mapToLong((team) -> ledger(team).excess()).sum();
		List<Outcome> entries = new ArrayList<>(this.outcomes);
		entries.removeIf((outcome) -> outcome.arrival().kind().target() != RequestTarget.ENTRY);
		long lost = entries.stream()
			.filter((outcome) -> outcome.isComplete() && !this.effects.containsKey(outcome.tag()))
			.count();
		return new Breaches(count(Outcome::dataAfterEnd),
				count((outcome) -> outcome.endMarkerReceived() && !outcome.contentCorrect()),
				this.effects.values().stream().filter((times) -> times > 1).count(), count(this::notRunButRan),
				heldAfterEnd, excess, keysSeen, lost);
	}

	private boolean notRunButRan(Outcome outcome) {
		EngineWorkCounts counts = this.workCounts.getOrDefault(outcome.tag(), EngineWorkCounts.NONE);
		boolean ran = counts.prefills() > 0 || counts.decodes() > 0 || this.effects.containsKey(outcome.tag());
		return ran && Outcome.NOT_RUN.equals(outcome.verdict());
	}

}
