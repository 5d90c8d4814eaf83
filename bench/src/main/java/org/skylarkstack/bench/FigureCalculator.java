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
import org.skylarkstack.standin.EngineRun;
import org.skylarkstack.standin.RecordedRequest;

/**
 * Computes the figures of a run from what callers received and what backend servers ran.
 */
final class FigureCalculator {

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Cost of an output token in prompt tokens in a full batch of the deployments'
	 * engines: 38.6 ms / 20 requests against 33 microseconds.
	 */
	private static final double DECODE_COST = 58;

	private final List<Team> teams;

	private final List<Outcome> outcomes;

	private final Map<String, EngineRun> runs;

	private final Map<String, Long> effects;

	private final double seconds;

	/**
	 * Creates a calculator.
	 * @param teams the teams with their limits
	 * @param outcomes what callers received
	 * @param runs what engines ran, by tag
	 * @param effects how often each entry took effect, by tag
	 * @param seconds the length of the run
	 */
	FigureCalculator(List<Team> teams, List<Outcome> outcomes, Map<String, EngineRun> runs, Map<String, Long> effects,
			double seconds) {
		this.teams = teams;
		this.outcomes = outcomes;
		this.runs = runs;
		this.effects = effects;
		this.seconds = seconds;
	}

	static Map<String, Long> effectsByTag(List<RecordedRequest> effects) {
		return effects.stream()
			.collect(Collectors.groupingBy((effect) -> effect.body().replaceAll(".*\"entry\":\"([^\"]*)\".*", "$1"),
					Collectors.counting()));
	}

	RunFigures figures(Histogram gaps, long heldAfterEnd, long keysSeen) {
		List<Outcome> good = this.outcomes.stream().filter(Outcome::completion).filter(Outcome::good).toList();
		long wasted = wastedPrefillTokens();
		long prefilled = this.runs.values().stream().mapToLong(EngineRun::prefilledTokens).sum();
		Map.Entry<String, Double> worst = worstService();
		long wrong = this.teams.stream().mapToLong((team) -> ledger(team).wrongRefusals()).sum();
		Histogram first = firstTokens();
		return new RunFigures(this.outcomes.size(), good.size() / this.seconds,
				good.stream().mapToLong(Outcome::tokens).sum() / this.seconds, share(count(Outcome::whole)), wasted,
				(prefilled > 0) ? (double) wasted / prefilled : 0, worst.getKey(), worst.getValue(), wrong,
				share(wrong), first.getValueAtPercentile(50) / NANOS_PER_MILLI,
				first.getValueAtPercentile(99) / NANOS_PER_MILLI, gaps.getValueAtPercentile(50) / NANOS_PER_MILLI,
				gaps.getValueAtPercentile(99) / NANOS_PER_MILLI, errors(), breaches(heldAfterEnd, keysSeen));
	}

	private long count(Predicate<Outcome> filter) {
		return this.outcomes.stream().filter(filter).count();
	}

	private double share(long count) {
		return this.outcomes.isEmpty() ? 0 : (double) count / this.outcomes.size();
	}

	private TokenLedger ledger(Team team) {
		return new TokenLedger(team, of(team));
	}

	private List<Outcome> of(Team team) {
		return this.outcomes.stream().filter((outcome) -> outcome.arrival().team().id().equals(team.id())).toList();
	}

	private Histogram firstTokens() {
		Histogram first = new Histogram(LoadRunner.HIGHEST_NANOS, 3);
		this.outcomes.stream()
			.filter((outcome) -> outcome.completion() && outcome.firstTokenNanos() > 0)
			.filter((outcome) -> !outcome.arrival().kind().requestClass().mayWait())
			.forEach((outcome) -> first.recordValue(Math.max(0, outcome.firstTokenNanos() - outcome.sentNanos())));
		return first;
	}

	private long wastedPrefillTokens() {
		long wasted = 0;
		Map<String, Outcome> byTag = new HashMap<>();
		this.outcomes.forEach((outcome) -> byTag.put(outcome.tag(), outcome));
		for (Map.Entry<String, EngineRun> entry : this.runs.entrySet()) {
			EngineRun run = entry.getValue();
			Outcome outcome = byTag.get(entry.getKey());
			boolean delivered = outcome != null && outcome.whole();
			if (!delivered) {
				wasted += run.prefilledTokens();
			}
			else if (run.prefills() > 1) {
				wasted += run.prefilledTokens() * (run.prefills() - 1) / run.prefills();
			}
		}
		return wasted;
	}

	private Map.Entry<String, Double> worstService() {
		Map<String, Double> demands = new TreeMap<>();
		Map<String, Double> served = new HashMap<>();
		Map<String, Double> weights = new HashMap<>();
		for (Team team : this.teams) {
			double asked = 0;
			double tokens = 0;
			double got = 0;
			for (Outcome outcome : of(team)) {
				if (outcome.completion()) {
					double cost = outcome.arrival().promptTokens() + DECODE_COST * outcome.arrival().outputTokens();
					asked += cost;
					tokens += outcome.arrival().promptTokens() + outcome.arrival().outputTokens();
					got += outcome.whole() ? cost : 0;
				}
			}
			double permitted = team.tokensPerSecond() * this.seconds + team.burstTokens();
			demands.put(team.id(), (tokens > permitted) ? asked * permitted / tokens : asked);
			served.put(team.id(), got);
			weights.put(team.id(), team.weight());
		}
		double total = served.values().stream().mapToDouble(Double::doubleValue).sum();
		Map<String, Double> fair = FairShare.divide(total, demands, weights);
		Map.Entry<String, Double> worst = Map.entry("", 1.0);
		for (String team : demands.keySet()) {
			double due = fair.getOrDefault(team, 0.0);
			double ratio = (due > 0) ? served.getOrDefault(team, 0.0) / due : 1;
			if (worst.getKey().isEmpty() || ratio < worst.getValue()) {
				worst = Map.entry(team, ratio);
			}
		}
		return worst;
	}

	private Map<String, Long> errors() {
		return this.outcomes.stream()
			.filter((outcome) -> !outcome.whole())
			.collect(Collectors.groupingBy(
					(outcome) -> outcome.error().isEmpty() ? "status " + outcome.status() : outcome.error(),
					Collectors.counting()));
	}

	private Breaches breaches(long heldAfterEnd, long keysSeen) {
		long excess = this.teams.stream().mapToLong((team) -> ledger(team).excess()).sum();
		List<Outcome> entries = new ArrayList<>(this.outcomes);
		entries.removeIf((outcome) -> outcome.arrival().kind().target() != RequestTarget.ENTRY);
		long lost = entries.stream()
			.filter((outcome) -> outcome.whole() && !this.effects.containsKey(outcome.tag()))
			.count();
		return new Breaches(count(Outcome::surplus), count((outcome) -> outcome.ended() && !outcome.right()),
				this.effects.values().stream().filter((times) -> times > 1).count(), count(this::notRunButRan),
				heldAfterEnd, excess, keysSeen, lost);
	}

	private boolean notRunButRan(Outcome outcome) {
		EngineRun run = this.runs.getOrDefault(outcome.tag(), EngineRun.NONE);
		boolean ran = run.prefills() > 0 || run.decodes() > 0 || this.effects.containsKey(outcome.tag());
		return ran && Outcome.NOT_RUN.equals(outcome.verdict());
	}

}
