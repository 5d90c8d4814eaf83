package org.skylarkstack.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Attributes crashes of backend servers to requests, and to parts that requests have in
 * common, from the observations of all daemons.
 *
 * <p>
 * A server that crashes was usually running several requests, most of them harmless. A
 * request whose response had started is not the cause of a crash at the start of a
 * response. A part is the suspected cause if it was in requests with different contents
 * at several crashes and no request with it has started a response since. The causes are
 * chosen one after the other until they explain all crashes that they can explain: first
 * parts that have never been in a started response, then by the number of crashes, and
 * then the part that comes later in the prompts, because blocking it refuses the fewest
 * requests. Crashes that a cause explains do not count against other requests and parts,
 * so that a harmless request that ran beside a crashing one is served.
 *
 * <p>
 * The causes are determined anew with every observation. Daemons that have received the
 * same observations therefore agree, and a part that seemed to be the cause while an
 * observation was still on its way is no longer blocked. A cause that stays one for some
 * time becomes a block, which other daemons adopt and which outlives the observations.
 *
 * <p>
 * A response that has started clears every part of its prompt. What counts is when its
 * request was sent: a process that was suspended may read an old response after a crash.
 * Crashes that happen together do not suffice, because the failure of a rack hits
 * unrelated requests with a common part at the same moment.
 *
 * <p>
 * A block ends after a time that doubles with each level and differs between daemons, so
 * that few requests try the part again. The first crash after that blocks it at the next
 * level, and a started response removes the block. Not thread-safe.
 */
public final class CrashAnalysis {

	/**
	 * Number of crashes before its response started after which a request is refused.
	 */
	public static final int MAX_CRASHES = 2;

	// A crash in the middle of a response is less likely to be caused by its request.
	private static final int MAX_CRASHES_OF_ANY_KIND = 3;

	private static final int MIN_REQUESTS = 2;

	private static final int MIN_CRASHES_OF_NEW_PART = 2;

	private static final long MIN_SPAN_OF_NEW_PART_NANOS = 250_000_000L;

	private static final int MIN_CRASHES_OF_PROVEN_PART = 3;

	// Within this time, successes at other daemons become known.
	private static final long MIN_SPAN_OF_PROVEN_PART_NANOS = 2_000_000_000L;

	// Time for which a part must be a cause before other daemons adopt its block.
	private static final long SETTLING_NANOS = 2_000_000_000L;

	private static final long BLOCK_NANOS = 60_000_000_000L;

	private static final int MAX_BLOCK_DOUBLINGS = 6;

	// Share of the block time by which daemons differ at most.
	private static final double MAX_SPREAD_SHARE = 0.5;

	// Time after the end of a block after which it is forgotten if nothing has tried it.
	private static final long BLOCK_MEMORY_NANOS = 600_000_000_000L;

	private static final int MAX_OBSERVATIONS = 512;

	private static final int MAX_BLOCKS = 64;

	private static final int MAX_SUCCESSES = 4_096;

	private final long retentionNanos;

	private final double spread;

	private final List<CrashObservation> observations = new ArrayList<>();

	// Requests and parts of the observations.
	private final Set<String> suspects = new HashSet<>();

	private final Set<ObservationKey> observationKeys = new HashSet<>();

	private final Map<String, Cause> causes = new HashMap<>();

	private final Map<String, PartBlock> blocks = new HashMap<>();

	// When the latest request that started a response was sent, by request or part.
	private final Map<String, Long> successes = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_SUCCESSES;
		}
	};

	// Parts whose block was removed by a success, and when. Peers that still block them
	// must learn of the success.
	private final Map<String, Long> unblocked = new HashMap<>();

	private Set<String> explainedCrashes = Set.of();

	/**
	 * Creates an analysis without observations.
	 * @param retentionNanos how long a crash counts, in nanoseconds
	 * @param spread where the blocks of this daemon end in comparison with those of other
	 * daemons, from 0 (first) to 1 (last)
	 */
	public CrashAnalysis(long retentionNanos, double spread) {
		this.retentionNanos = retentionNanos;
		this.spread = spread;
	}

	/**
	 * Records an observation. Repeats of an observation are ignored.
	 * @param observation the observation of this daemon or of a peer
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void record(CrashObservation observation, long nowNanos) {
		expire(nowNanos);
		if (nowNanos - observation.nanos() > this.retentionNanos
				|| !this.observationKeys.add(ObservationKey.of(observation))) {
			return;
		}
		this.observations.add(observation);
		this.suspects.add(observation.request());
		this.suspects.addAll(observation.parts());
		if (this.observations.size() > MAX_OBSERVATIONS) {
			this.observations.remove(0);
			indexObservations();
		}
		renewBlocks(observation);
		determineCauses(nowNanos);
	}

	/**
	 * Records that a request has started a response, or has run to its end.
	 * @param keys the parts that this clears, or the request
	 * @param sentNanos when the request was sent to its server, on the monotonic clock in
	 * nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordSuccess(Collection<String> keys, long sentNanos, long nowNanos) {
		boolean changed = false;
		for (String key : keys) {
			Long known = this.successes.get(key);
			if (known != null && sentNanos - known <= 0) {
				continue;
			}
			this.successes.put(key, sentNanos);
			PartBlock block = this.blocks.get(key);
			if (block != null && sentNanos - block.sinceNanos() > 0) {
				this.blocks.remove(key);
				this.unblocked.put(key, nowNanos);
				changed = true;
			}
			changed |= isSuspect(key);
		}
		if (changed) {
			determineCauses(nowNanos);
		}
	}

	/**
	 * Records a block that a peer has decided on. It is ignored if this daemon knows it,
	 * if a success is known that is later, or if the crashes that this daemon knows have
	 * another cause.
	 * @param part the part
	 * @param block the peer's block
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void adopt(String part, PartBlock block, long nowNanos) {
		PartBlock known = this.blocks.get(part);
		boolean outdated = (known != null && known.level() >= block.level()) || succeededSince(part, block.sinceNanos())
				|| isForgotten(block, nowNanos);
		if (!outdated && (this.causes.containsKey(part) || !hasOtherCause(part))) {
			block(part, block);
			determineCauses(nowNanos);
		}
	}

	/**
	 * Returns for how long requests with certain parts must be refused.
	 * @param parts the parts
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until they may be tried again in nanoseconds, 0 if none of the
	 * parts is blocked
	 */
	public long partRefusalNanos(List<String> parts, long nowNanos) {
		expire(nowNanos);
		long nanos = 0;
		for (String part : parts) {
			PartBlock block = this.blocks.get(part);
			Cause cause = this.causes.get(part);
			nanos = Math.max(nanos, (block != null) ? endNanos(block) - nowNanos : 0);
			nanos = Math.max(nanos, (cause != null) ? endNanos(cause.block) - nowNanos : 0);
		}
		return nanos;
	}

	/**
	 * Returns for how long a request must be refused because of crashes during itself.
	 * @param request identifies requests with the same content
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until it may be tried again in nanoseconds, 0 if it may run now
	 */
	public long requestRefusalNanos(String request, long nowNanos) {
		expire(nowNanos);
		int beforeStart = 0;
		int all = 0;
		long nanos = 0;
		for (CrashObservation observation : this.observations) {
			if (observation.request().equals(request) && !this.explainedCrashes.contains(observation.crashId())
					&& !succeededSince(request, observation.nanos())) {
				beforeStart += observation.started() ? 0 : 1;
				all++;
				nanos = Math.max(nanos, observation.nanos() + this.retentionNanos - nowNanos);
			}
		}
		return (beforeStart >= MAX_CRASHES || all >= MAX_CRASHES_OF_ANY_KIND) ? nanos : 0;
	}

	/**
	 * Returns whether there is nothing to refuse: no crash counts and no part is blocked.
	 * @return whether every request may run
	 */
	public boolean isEmpty() {
		return this.observations.isEmpty() && this.blocks.isEmpty();
	}

	/**
	 * Returns whether a request or a part was in a crash that still counts.
	 * @param key identifies requests with the same content, or the part
	 * @return whether it is a suspect
	 */
	public boolean isSuspect(String key) {
		return this.suspects.contains(key);
	}

	/**
	 * Returns the parts that are refused.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the parts
	 */
	public Set<String> refusedParts(long nowNanos) {
		Set<String> parts = new HashSet<>(this.causes.keySet());
		parts.addAll(this.blocks.keySet());
		parts.removeIf((part) -> partRefusalNanos(List.of(part), nowNanos) == 0);
		return parts;
	}

	/**
	 * Returns the blocks for other daemons to adopt, including those that have ended and
	 * may be renewed.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the blocks by part
	 */
	public Map<String, PartBlock> blocks(long nowNanos) {
		expire(nowNanos);
		for (Map.Entry<String, Cause> cause : this.causes.entrySet()) {
			if (nowNanos - cause.getValue().sinceNanos > SETTLING_NANOS) {
				this.blocks.putIfAbsent(cause.getKey(), cause.getValue().block);
			}
		}
		return Map.copyOf(this.blocks);
	}

	/**
	 * Returns the successes that peers need to know: those of suspected and blocked keys.
	 * @param peerBlocks the parts that peers have blocked
	 * @return the time at which the latest successful request was sent, by key
	 */
	public Map<String, Long> relevantSuccesses(Collection<String> peerBlocks) {
		Set<String> keys = new HashSet<>(this.suspects);
		keys.addAll(peerBlocks);
		keys.addAll(this.blocks.keySet());
		keys.addAll(this.unblocked.keySet());
		Map<String, Long> relevant = new HashMap<>();
		for (String key : keys) {
			Long sent = this.successes.get(key);
			if (sent != null) {
				relevant.put(key, sent);
			}
		}
		return relevant;
	}

	private void renewBlocks(CrashObservation observation) {
		for (String part : observation.parts()) {
			PartBlock block = this.blocks.get(part);
			if (block != null && observation.nanos() - endNanos(block) > 0) {
				this.blocks.put(part, new PartBlock(block.level() + 1, observation.nanos()));
			}
		}
	}

	private void determineCauses(long nowNanos) {
		Map<String, Cause> former = Map.copyOf(this.causes);
		this.causes.clear();
		explainCrashes();
		for (Suspect suspect = strongestSuspect(); suspect != null; suspect = strongestSuspect()) {
			Cause known = former.get(suspect.part);
			this.causes.put(suspect.part,
					new Cause((known != null) ? known.sinceNanos : nowNanos, new PartBlock(1, suspect.latestNanos)));
			explainCrashes();
		}
	}

	private @Nullable Suspect strongestSuspect() {
		Map<String, Suspect> suspects = new HashMap<>();
		for (CrashObservation observation : this.observations) {
			boolean explained = this.explainedCrashes.contains(observation.crashId());
			for (int index = 0; index < observation.parts().size(); index++) {
				String part = observation.parts().get(index);
				if (!isCause(part) && !succeededSince(part, observation.nanos())) {
					boolean proven = this.successes.containsKey(part);
					suspects.computeIfAbsent(part, (key) -> new Suspect(key, proven))
						.add(observation, index, explained);
				}
			}
		}
		return suspects.values().stream().filter(Suspect::isCause).max(Suspect.BY_STRENGTH).orElse(null);
	}

	private boolean isCause(String part) {
		return this.blocks.containsKey(part) || this.causes.containsKey(part);
	}

	private boolean hasOtherCause(String part) {
		List<CrashObservation> crashes = this.observations.stream()
			.filter((observation) -> observation.parts().contains(part))
			.toList();
		return !crashes.isEmpty()
				&& crashes.stream().allMatch((crash) -> this.explainedCrashes.contains(crash.crashId()));
	}

	private void block(String part, PartBlock block) {
		if (this.blocks.size() >= MAX_BLOCKS && !this.blocks.containsKey(part)) {
			this.blocks.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().sinceNanos()))
				.ifPresent((oldest) -> this.blocks.remove(oldest.getKey()));
		}
		this.blocks.put(part, block);
		this.unblocked.remove(part);
	}

	private void explainCrashes() {
		Set<String> explained = new HashSet<>();
		for (CrashObservation observation : this.observations) {
			if (observation.parts().stream().anyMatch(this::isCause)) {
				explained.add(observation.crashId());
			}
		}
		this.explainedCrashes = explained;
	}

	private boolean succeededSince(String key, long nanos) {
		Long sent = this.successes.get(key);
		return sent != null && sent - nanos > 0;
	}

	private long endNanos(PartBlock block) {
		long nanos = BLOCK_NANOS << Math.min(block.level() - 1, MAX_BLOCK_DOUBLINGS);
		return block.sinceNanos() + nanos + (long) (this.spread * MAX_SPREAD_SHARE * nanos);
	}

	private boolean isForgotten(PartBlock block, long nowNanos) {
		return nowNanos - endNanos(block) > BLOCK_MEMORY_NANOS;
	}

	private void expire(long nowNanos) {
		if (isEmpty() && this.unblocked.isEmpty()) {
			return;
		}
		boolean changed = this.observations
			.removeIf((observation) -> nowNanos - observation.nanos() > this.retentionNanos);
		if (changed) {
			indexObservations();
		}
		changed |= this.blocks.values().removeIf((block) -> isForgotten(block, nowNanos));
		this.unblocked.values().removeIf((since) -> nowNanos - since > this.retentionNanos);
		if (changed) {
			determineCauses(nowNanos);
		}
	}

	private void indexObservations() {
		this.suspects.clear();
		this.observationKeys.clear();
		for (CrashObservation observation : this.observations) {
			this.observationKeys.add(ObservationKey.of(observation));
			this.suspects.add(observation.request());
			this.suspects.addAll(observation.parts());
		}
	}

	private record ObservationKey(String crashId, String request) {

		static ObservationKey of(CrashObservation observation) {
			return new ObservationKey(observation.crashId(), observation.request());
		}

	}

	/**
	 * Part that the observations show to be the cause of crashes.
	 *
	 * @param sinceNanos the time since which it is, on the monotonic clock in nanoseconds
	 * @param block the block that follows from it
	 */
	private record Cause(long sinceNanos, PartBlock block) {

	}

	/**
	 * Part that may be the cause of crashes.
	 */
	private static final class Suspect {

		static final Comparator<Suspect> BY_STRENGTH = Comparator.comparing((Suspect suspect) -> !suspect.proven)
			.thenComparingInt((suspect) -> suspect.crashes.size())
			.thenComparingInt((suspect) -> suspect.lastIndex)
			.thenComparing((suspect) -> suspect.part);

		private final String part;

		// Whether a request with the part has ever started a response.
		private final boolean proven;

		private final Set<String> crashes = new HashSet<>();

		private final Set<String> unexplainedCrashes = new HashSet<>();

		private final Set<String> requests = new HashSet<>();

		private int lastIndex;

		private long earliestNanos;

		private long latestNanos;

		Suspect(String part, boolean proven) {
			this.part = part;
			this.proven = proven;
		}

		void add(CrashObservation observation, int index, boolean explained) {
			boolean first = this.crashes.isEmpty();
			this.earliestNanos = (first || observation.nanos() - this.earliestNanos < 0) ? observation.nanos()
					: this.earliestNanos;
			this.latestNanos = (first || observation.nanos() - this.latestNanos > 0) ? observation.nanos()
					: this.latestNanos;
			this.crashes.add(observation.crashId());
			this.requests.add(observation.request());
			this.lastIndex = Math.max(this.lastIndex, index);
			if (!explained) {
				this.unexplainedCrashes.add(observation.crashId());
			}
		}

		boolean isCause() {
			long spanNanos = this.latestNanos - this.earliestNanos;
			if (this.unexplainedCrashes.isEmpty() || this.requests.size() < MIN_REQUESTS) {
				return false;
			}
			return this.proven
					? this.unexplainedCrashes.size() >= MIN_CRASHES_OF_PROVEN_PART
							&& spanNanos > MIN_SPAN_OF_PROVEN_PART_NANOS
					: this.crashes.size() >= MIN_CRASHES_OF_NEW_PART && spanNanos > MIN_SPAN_OF_NEW_PART_NANOS;
		}

	}

}
