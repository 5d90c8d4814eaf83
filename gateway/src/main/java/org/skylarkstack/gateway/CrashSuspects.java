package org.skylarkstack.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.crash.CrashAnalysis;
import org.skylarkstack.crash.CrashObservation;
import org.skylarkstack.crash.PartBlock;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.peers.CrashReport;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.ReportedBlock;
import org.skylarkstack.peers.ReportedCrash;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests and parts of prompts that are suspected of crashing backend servers.
 *
 * <p>
 * Feeds {@link CrashAnalysis} with what this daemon has detected and what its peers have
 * reported. Own crashes are reported for as long as they count. Blocked parts are
 * reported by every daemon that knows them, so that they outlive the daemon that has
 * detected the crashes. Confined to one thread.
 */
public final class CrashSuspects {

	private static final Logger log = LoggerFactory.getLogger(CrashSuspects.class);

	private static final long RETENTION_NANOS = 60_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Time that a report may take to arrive, relayed through other daemons. A success
	// counts as that much older, so that it does not clear a later crash.
	private static final long MAX_RELAY_NANOS = 1_000_000_000L;

	private static final int MAX_REPORTED_CRASHES = 32;

	// Callers choose the number and length of the parts. A report must fit into a
	// datagram whatever they send.
	private static final int MAX_REPORTED_CHARACTERS = 8 * 1024;

	// In a fleet of several groups, each report is relayed to all daemons. Longer reports
	// exceed the traffic of a daemon, so that they arrive seconds late and the limits of
	// teams shrink as if the fleet were partitioned.
	private static final int MAX_RELAYED_CHARACTERS = 256;

	// Crashes are reported first for this time, by several reports in case one is lost.
	private static final long NEW_CRASH_NANOS = 2_000_000_000L;

	// Ages in reports are bounded, because any process can send a datagram.
	private static final long MAX_AGE_MILLIS = 86_400_000;

	private final CrashAnalysis analysis;

	private final PeerUsage peers;

	private final Random random = new Random();

	private final List<CrashObservation> ownCrashes = new ArrayList<>();

	// Parts that peers have blocked, and when they last reported it.
	private final Map<String, Long> peerBlocks = new HashMap<>();

	private Set<String> refusedParts = Set.of();

	/**
	 * Creates an instance without suspects.
	 * @param peers the reports of the other daemons, which include the crashes that they
	 * detected
	 * @param spread where the blocks of this daemon end in comparison with those of other
	 * daemons, from 0 (first) to 1 (last)
	 */
	public CrashSuspects(PeerUsage peers, double spread) {
		this.analysis = new CrashAnalysis(RETENTION_NANOS, spread);
		this.peers = peers;
		peers.onCrashesReported(this::recordReport);
	}

	/**
	 * Records that a server crashed while it was running a request.
	 * @param server the server
	 * @param context the request
	 * @param started whether the response of the server had started
	 * @param crashedNanos the monotonic time of the crash in nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordCrash(BackendNode server, ExchangeContext context, boolean started, long crashedNanos, long nowNanos) {
		String crashId = server.id() + "/" + server.startedMillis();
		CrashObservation crash = new CrashObservation(crashId, context.fingerprint(), context.sharedPartKeys(), started,
				crashedNanos);
		this.ownCrashes.add(crash);
		this.analysis.record(crash, nowNanos);
		logChanges(nowNanos);
	}

	/**
	 * Records that a server has started the response to a request.
	 * @param context the request
	 * @param sentNanos the monotonic time at which it was sent to the server, in
	 * nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordStarted(ExchangeContext context, long sentNanos, long nowNanos) {
		this.analysis.recordSuccess(context.sharedPartKeys(), sentNanos, nowNanos);
	}

	/**
	 * Records that a request was completed.
	 * @param context the request
	 * @param sentNanos the monotonic time at which it was sent to the server, in
	 * nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordCompleted(ExchangeContext context, long sentNanos, long nowNanos) {
		if (this.analysis.isSuspect(context.fingerprint())) {
			this.analysis.recordSuccess(List.of(context.fingerprint()), sentNanos, nowNanos);
		}
	}

	/**
	 * Returns the reason for which a request must not be sent to a server.
	 * @param context the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the refusal, with the time until the request may be tried again, or
	 * {@code null} if it may run
	 */
	@Nullable RouterException refusal(ExchangeContext context, long nowNanos) {
		if (this.analysis.isEmpty()) {
			return null;
		}
		long partNanos = this.analysis.partRefusalNanos(context.sharedPartKeys(), nowNanos);
		if (partNanos > 0) {
			return RouterException.retryAfter(ErrorType.PROMPT_PART_BLOCKED, Duration.ofNanos(partNanos));
		}
		long requestNanos = this.analysis.requestRefusalNanos(context.fingerprint(), nowNanos);
		return (requestNanos > 0) ? RouterException.retryAfter(ErrorType.CRASH_SUSPECT, Duration.ofNanos(requestNanos),
				CrashAnalysis.MAX_CRASHES) : null;
	}

	/**
	 * Returns what the peers need to know. In a large fleet, each report contains another
	 * random part of it, so that every peer has received all of it after some reports.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the report of this daemon
	 */
	public CrashReport report(long nowNanos) {
		this.ownCrashes.removeIf((crash) -> nowNanos - crash.nanos() > RETENTION_NANOS);
		this.peerBlocks.values().removeIf((since) -> nowNanos - since > RETENTION_NANOS);
		if (this.ownCrashes.isEmpty() && this.peerBlocks.isEmpty() && this.analysis.isEmpty()) {
			return CrashReport.NONE;
		}
		Map<String, Long> successAges = new HashMap<>();
		int maxCharacters = maxCharacters();
		int characters = 0;
		List<Map.Entry<String, Long>> successes = new ArrayList<>(
				this.analysis.relevantSuccesses(this.peerBlocks.keySet()).entrySet());
		Collections.shuffle(successes, this.random);
		for (Map.Entry<String, Long> success : successes) {
			if (characters + success.getKey().length() <= maxCharacters) {
				characters += success.getKey().length();
				successAges.put(success.getKey(), ageMillis(success.getValue(), nowNanos));
			}
		}
		Map<String, ReportedBlock> blocks = new HashMap<>();
		this.analysis.blocks(nowNanos)
			.forEach((part, block) -> blocks.put(part,
					new ReportedBlock(block.level(), ageMillis(block.sinceNanos(), nowNanos))));
		return new CrashReport(reportedCrashes(nowNanos), successAges, blocks);
	}

	private int maxCharacters() {
		return this.peers.isRelayed() ? MAX_RELAYED_CHARACTERS : MAX_REPORTED_CHARACTERS;
	}

	// A report contains at least one crash, however long its parts are.
	private List<ReportedCrash> reportedCrashes(long nowNanos) {
		List<ReportedCrash> crashes = new ArrayList<>();
		int maxCharacters = maxCharacters();
		int characters = 0;
		for (CrashObservation crash : crashesInReportOrder(nowNanos)) {
			int needed = characters(crash);
			boolean fits = characters + needed <= maxCharacters
					|| (crashes.isEmpty() && needed <= MAX_REPORTED_CHARACTERS);
			if (crashes.size() < MAX_REPORTED_CRASHES && fits) {
				characters += needed;
				crashes.add(new ReportedCrash(crash.crashId(), crash.request(), crash.parts(), crash.started(),
						ageMillis(crash.nanos(), nowNanos)));
			}
		}
		return crashes;
	}

	// New crashes come first. Requests whose response had not started precede the others,
	// because they may be the cause. The rest is random.
	private List<CrashObservation> crashesInReportOrder(long nowNanos) {
		List<CrashObservation> order = new ArrayList<>(this.ownCrashes);
		Collections.shuffle(order, this.random);
		order.sort(Comparator.comparing((CrashObservation crash) -> nowNanos - crash.nanos() > NEW_CRASH_NANOS)
			.thenComparing(CrashObservation::started));
		return order;
	}

	private static int characters(CrashObservation crash) {
		return crash.crashId().length() + crash.request().length()
				+ crash.parts().stream().mapToInt(String::length).sum();
	}

	private void recordReport(CrashReport report, long nowNanos) {
		report.successAges()
			.forEach((key, age) -> this.analysis.recordSuccess(List.of(key), timeOf(age, nowNanos) - MAX_RELAY_NANOS,
					nowNanos));
		for (ReportedCrash crash : report.crashes()) {
			this.analysis.record(new CrashObservation(crash.crashId(), crash.request(), crash.parts(), crash.started(),
					timeOf(crash.ageMillis(), nowNanos)), nowNanos);
		}
		report.blocks().forEach((part, block) -> {
			this.peerBlocks.put(part, nowNanos);
			this.analysis.adopt(part, new PartBlock(Math.max(1, block.level()), timeOf(block.ageMillis(), nowNanos)),
					nowNanos);
		});
		logChanges(nowNanos);
	}

	private static long timeOf(long ageMillis, long nowNanos) {
		return nowNanos - Math.min(Math.max(0, ageMillis), MAX_AGE_MILLIS) * NANOS_PER_MILLI;
	}

	private static long ageMillis(long nanos, long nowNanos) {
		return Math.max(0, (nowNanos - nanos) / NANOS_PER_MILLI);
	}

	private void logChanges(long nowNanos) {
		if (this.analysis.isEmpty() && this.refusedParts.isEmpty()) {
			return;
		}
		Set<String> refused = this.analysis.refusedParts(nowNanos);
		if (!refused.equals(this.refusedParts)) {
			log.atWarn()
				.addKeyValue("event", "refused-parts-changed")
				.addKeyValue("parts", refused)
				.addKeyValue("former", this.refusedParts)
				.log();
			this.refusedParts = refused;
		}
	}

}
