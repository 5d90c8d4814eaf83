package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;
import org.skylarkstack.peers.PeerUsage;

/**
 * Queues of stream requests, one for each service, moved on whenever room may have come
 * free. Confined to one event loop.
 */
public final class StreamAdmission {

	// Room that peers free is learnt from their reports; this is how often it is looked
	// for.
	private static final long POLL_MILLIS = 40;

	// Prompts wait here rather than at a prefill engine, so that memory for their
	// answers is not reserved meanwhile and the most urgent one goes next.
	private static final long MAX_PREFILL_WAIT_MILLIS = 300;

	private final EventLoop loop;

	private final BackendDirectory backends;

	private final PeerUsage peers;

	private final EngineChooser prefillEngines;

	private final DecodeEngineChooser decodeEngines;

	private final Runnable usageListener;

	private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

	private final RequestAgeEstimator requestAges = new RequestAgeEstimator();

	private final FirstEventDelayEstimator firstEventDelays = new FirstEventDelayEstimator();

	private final Map<String, StreamQueue> queues = new HashMap<>();

	private final Map<String, EngineProfile> profiles = new HashMap<>();

	private boolean polling;

	private boolean advancing;

	/**
	 * Creates the queues.
	 * @param loop the event loop
	 * @param backends the backend servers
	 * @param peers what peers use
	 * @param prefillEngines knows the load of prefill engines
	 * @param dataCentre the data centre of this daemon
	 * @param random the source of randomness
	 * @param usageListener is told when a stream occupies something else than before
	 */
	public StreamAdmission(EventLoop loop, BackendDirectory backends, PeerUsage peers, EngineChooser prefillEngines,
			String dataCentre, RandomGenerator random, Runnable usageListener) {
		this.prefillEngines = prefillEngines;
		this.usageListener = usageListener;
		this.loop = loop;
		this.backends = backends;
		this.peers = peers;
		this.decodeEngines = new DecodeEngineChooser(peers, dataCentre, random);
	}

	void add(ServicePolicy service, EngineProfile profile, WaitingStream stream) {
		this.profiles.put(service.name(), profile);
		this.queues.computeIfAbsent(service.name(), (name) -> new StreamQueue()).add(stream);
		advance();
	}

	void remove(ServicePolicy service, WaitingStream stream) {
		StreamQueue queue = this.queues.get(service.name());
		if (queue != null) {
			queue.remove(stream);
		}
	}

	boolean isChanging(BackendNode engine, long nowNanos) {
		return this.peers.isChanging(engine.roleKey(), nowNanos);
	}

	RequestAgeEstimator requestAges() {
		return this.requestAges;
	}

	FirstEventDelayEstimator firstEventDelays() {
		return this.firstEventDelays;
	}

	OutputLengthEstimator outputLengths() {
		return this.outputLengths;
	}

	@Nullable BackendState chooseDecodeEngine(String service, EngineProfile profile, Set<String> tried, EngineRun memory) {
		return this.decodeEngines.choose(
				this.backends.candidates(service, Stage.DECODE, (node) -> tried.contains(node.id())), profile, memory,
				System.nanoTime());
	}

	/** What a stream occupies has changed. */
	void notifyUsageChanged() {
		this.usageListener.run();
	}

	private boolean prefillBusy(List<BackendState> engines, long now) {
		return !engines.isEmpty() && engines.stream()
			.allMatch((engine) -> this.prefillEngines.waitMillis(engine, now) > MAX_PREFILL_WAIT_MILLIS);
	}

	/** Moves the queues on. */
	void advance() {
		if (this.advancing) {
			return;
		}
		this.advancing = true;
		long now = System.nanoTime();
		boolean anyWaiting = false;
		for (Map.Entry<String, StreamQueue> entry : this.queues.entrySet()) {
			EngineProfile profile = this.profiles.get(entry.getKey());
			if (profile != null && entry.getValue().size() > 0) {
				List<BackendState> engines = this.backends.candidates(entry.getKey(), Stage.DECODE, (node) -> false);
				List<BackendState> prefill = this.backends.candidates(entry.getKey(), Stage.PREFILL,
						(node) -> isChanging(node, now));
				entry.getValue()
					.advance((stream) -> prefillBusy(prefill, now) ? null
							: this.decodeEngines.choose(engines, profile, stream.memory(), now), now);
				anyWaiting |= entry.getValue().size() > 0;
			}
		}
		this.advancing = false;
		if (anyWaiting && !this.polling) {
			this.polling = true;
			this.loop.schedule(() -> {
				this.polling = false;
				advance();
			}, POLL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

}
