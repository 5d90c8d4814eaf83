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
 * at several crashes and no request with it has started a response in the meantime. Of
 * several such parts, the one that explains the most crashes is blocked; among equals,
 * one that has never been in a response that started, and then the one that comes later
 * in the prompts, because blocking it refuses the fewest requests. The crashes that a
 * blocked part explains no longer count against other requests and parts, so that a
 * harmless request that ran beside a crashing one is served.
 *
 * <p>
 * A response that has started clears every part of its prompt. What counts is when its
 * request was sent: a process that was suspended may read an old response after a crash.
 * Crashes that happen together count as one for a part, because the failure of a rack
 * hits unrelated requests with a common part at the same moment.
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

	private static final int MIN_CRASHES_OF_NEW_PART = 2;

	private static final int MIN_CRASHES_OF_PROVEN_PART = 3;

	private static final int MIN_REQUESTS = 2;

	private static final long SIMULTANEOUS_NANOS = 250_000_000L;

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
	 * @return the parts that are blocked because of it
	 */
	public List<String> record(CrashObservation observation, long nowNanos) {
		expire(nowNanos);
		boolean known = this.observations.stream()
			.anyMatch((other) -> other.crashId().equals(observation.crashId())
					&& other.request().equals(observation.request()));
		if (known || nowNanos - observation.nanos() > this.retentionNanos) {
			return List.of();
		}
		if (this.observations.size() >= MAX_OBSERVATIONS) {
			this.observations.remove(0);
		}
		this.observations.add(observation);
		return blockParts(nowNanos);
	}

	/**
	 * Records that a request has started a response, or has run to its end.
	 * @param keys the parts that this clears, or the request
	 * @param sentNanos when the request was sent to its server, on the monotonic clock in
	 * nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the parts that are no longer blocked because of it
	 */
	public List<String> recordSuccess(Collection<String> keys, long sentNanos, long nowNanos) {
		List<String> cleared = new ArrayList<>();
		for (String key : keys) {
			this.successes.merge(key, sentNanos, (known, sent) -> (sent - known > 0) ? sent : known);
			PartBlock block = this.blocks.get(key);
			if (block != null && sentNanos - block.sinceNanos() > 0) {
				this.blocks.remove(key);
				this.unblocked.put(key, nowNanos);
				cleared.add(key);
			}
		}
		if (!cleared.isEmpty()) {
			explainCrashes();
		}
		return cleared;
	}

	/**
	 * Records a block that a peer has decided on. A block that this daemon knows, or that
	 * a later success has removed, is ignored.
	 * @param part the part
	 * @param block the peer's block
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the part is blocked because of it
	 */
	public boolean adopt(String part, PartBlock block, long nowNanos) {
		PartBlock known = this.blocks.get(part);
		if ((known != null && known.level() >= block.level()) || succeededSince(part, block.sinceNanos())
				|| isForgotten(block, nowNanos) || isCoveredByBlock(part)) {
			return false;
		}
		block(part, block);
		return true;
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
			nanos = Math.max(nanos, (block != null) ? endNanos(block) - nowNanos : 0);
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
	 * Returns whether a request was running at a crash that still counts.
	 * @param request identifies requests with the same content
	 * @return whether it is a suspect
	 */
	public boolean isSuspect(String request) {
		return this.observations.stream().anyMatch((observation) -> observation.request().equals(request));
	}

	/**
	 * Returns the blocks, including those that have ended and may be renewed.
	 * @return the blocks by part
	 */
	public Map<String, PartBlock> blocks() {
		return Map.copyOf(this.blocks);
	}

	/**
	 * Returns the successes that peers need to know: those of suspected and blocked keys.
	 * @param peerBlocks the parts that peers have blocked
	 * @return the time at which the latest successful request was sent, by key
	 */
	public Map<String, Long> relevantSuccesses(Collection<String> peerBlocks) {
		Set<String> keys = new HashSet<>(peerBlocks);
		keys.addAll(this.blocks.keySet());
		keys.addAll(this.unblocked.keySet());
		for (CrashObservation observation : this.observations) {
			keys.add(observation.request());
			keys.addAll(observation.parts());
		}
		Map<String, Long> relevant = new HashMap<>();
		for (String key : keys) {
			Long sent = this.successes.get(key);
			if (sent != null) {
				relevant.put(key, sent);
			}
		}
		return relevant;
	}

	// Repeats until no further part explains a crash that is not explained yet.
	private List<String> blockParts(long nowNanos) {
		List<String> blocked = renewBlocks(nowNanos);
		for (Suspect suspect = strongestSuspect(); suspect != null; suspect = strongestSuspect()) {
			PartBlock former = this.blocks.get(suspect.part);
			block(suspect.part, new PartBlock((former != null) ? former.level() + 1 : 1, suspect.latestNanos));
			blocked.add(suspect.part);
		}
		// A part may have been blocked before the observation arrived that shows the
		// actual cause.
		if (this.blocks.keySet().removeIf(this::isCoveredByBlock)) {
			explainCrashes();
		}
		return blocked;
	}

	// Whether another blocked part was in all requests before whose responses the part
	// was
	// at a crash, and at further crashes.
	private boolean isCoveredByBlock(String part) {
		Set<String> crashes = crashesOf(part);
		return !crashes.isEmpty()
				&& this.blocks.keySet().stream().filter((other) -> !other.equals(part)).anyMatch((other) -> {
					Set<String> others = crashesOf(other);
					return others.size() > crashes.size() && others.containsAll(crashes);
				});
	}

	private Set<String> crashesOf(String part) {
		Set<String> crashes = new HashSet<>();
		for (CrashObservation observation : this.observations) {
			if (observation.parts().contains(part)) {
				crashes.add(observation.crashId());
			}
		}
		return crashes;
	}

	private List<String> renewBlocks(long nowNanos) {
		List<String> renewed = new ArrayList<>();
		for (CrashObservation observation : this.observations) {
			for (String part : observation.parts()) {
				PartBlock block = this.blocks.get(part);
				if (block != null && observation.nanos() - endNanos(block) > 0) {
					this.blocks.put(part, new PartBlock(block.level() + 1, observation.nanos()));
					renewed.add(part);
				}
			}
		}
		return renewed;
	}

	private @Nullable Suspect strongestSuspect() {
		Map<String, Suspect> suspects = new HashMap<>();
		for (CrashObservation observation : this.observations) {
			for (int index = 0; index < observation.parts().size(); index++) {
				String part = observation.parts().get(index);
				if (!this.blocks.containsKey(part) && !succeededSince(part, observation.nanos())) {
					suspects.computeIfAbsent(part, (key) -> new Suspect(key, this.successes.containsKey(key)))
						.add(observation, index, this.explainedCrashes.contains(observation.crashId()));
				}
			}
		}
		return suspects.values().stream().filter(Suspect::isCause).max(Suspect.BY_STRENGTH).orElse(null);
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
		explainCrashes();
	}

	private void explainCrashes() {
		Set<String> explained = new HashSet<>();
		for (CrashObservation observation : this.observations) {
			if (observation.parts().stream().anyMatch(this.blocks::containsKey)) {
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
		if (this.observations.isEmpty() && this.blocks.isEmpty() && this.unblocked.isEmpty()) {
			return;
		}
		boolean changed = this.observations
			.removeIf((observation) -> nowNanos - observation.nanos() > this.retentionNanos);
		changed |= this.blocks.values().removeIf((block) -> isForgotten(block, nowNanos));
		this.unblocked.values().removeIf((since) -> nowNanos - since > this.retentionNanos);
		if (changed) {
			explainCrashes();
		}
	}

	/**
	 * Part that may be the cause of crashes.
	 */
	private static final class Suspect {

		static final Comparator<Suspect> BY_STRENGTH = Comparator
			.comparingInt((Suspect suspect) -> suspect.crashes.size())
			.thenComparing((suspect) -> !suspect.proven)
			.thenComparingInt((suspect) -> suspect.lastIndex)
			.thenComparing((suspect) -> suspect.part);

		private final String part;

		// Whether a request with the part has ever started a response.
		private final boolean proven;

		private final Set<String> crashes = new HashSet<>();

		private final Set<String> requests = new HashSet<>();

		private boolean inUnexplainedCrash;

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
			this.inUnexplainedCrash |= !explained;
		}

		boolean isCause() {
			return this.inUnexplainedCrash && this.requests.size() >= MIN_REQUESTS
					&& this.crashes.size() >= (this.proven ? MIN_CRASHES_OF_PROVEN_PART : MIN_CRASHES_OF_NEW_PART)
					&& this.latestNanos - this.earliestNanos > SIMULTANEOUS_NANOS;
		}

	}

}
