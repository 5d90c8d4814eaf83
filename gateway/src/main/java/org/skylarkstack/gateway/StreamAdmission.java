package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.RequestMemory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits stream requests to decode engines. Each service has a queue, which is processed
 * whenever engine capacity may have become free. Confined to one event loop.
 */
public final class StreamAdmission {

	private static final Logger log = LoggerFactory.getLogger(StreamAdmission.class);

	// This daemon detects capacity that peers have freed only from their reports, so the
	// queues are also processed at this interval.
	private static final long POLL_INTERVAL_MILLIS = 40;

	// Streams stay queued while the estimated wait at every prefill engine is longer than
	// this. A prompt that waited at a prefill engine instead would have memory reserved
	// for its response meanwhile, and could not be overtaken by a more urgent one.
	private static final long MAX_PREFILL_WAIT_MILLIS = 300;

	private final EventLoop loop;

	private final BackendDirectory backends;

	private final PeerUsage peers;

	private final PrefillEngineChooser prefillEngineChooser;

	private final DecodeEngineChooser decodeEngineChooser;

	private final Runnable usageListener;

	private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

	private final RequestAgeEstimator requestAges = new RequestAgeEstimator();

	private final FirstEventDelayEstimator firstEventDelays = new FirstEventDelayEstimator();

	private final Map<String, StreamQueue> queues = new HashMap<>();

	private final Map<String, EngineProfile> profiles = new HashMap<>();

	private boolean pollScheduled;

	private boolean advancing;

	/**
	 * Creates an admission without waiting streams.
	 * @param loop the event loop that all calls run on
	 * @param backends the directory of backend servers
	 * @param peers the engine usage that peers report
	 * @param prefillEngineChooser estimates the wait at prefill engines
	 * @param dataCentre the data centre of this daemon
	 * @param random the random number generator that draws samples of engines
	 * @param usageListener runs when the engine usage of a stream has changed
	 */
	public StreamAdmission(EventLoop loop, BackendDirectory backends, PeerUsage peers,
			PrefillEngineChooser prefillEngineChooser, String dataCentre, RandomGenerator random,
			Runnable usageListener) {
		this.prefillEngineChooser = prefillEngineChooser;
		this.usageListener = usageListener;
		this.loop = loop;
		this.backends = backends;
		this.peers = peers;
		this.decodeEngineChooser = new DecodeEngineChooser(peers, dataCentre, random);
	}

	void add(ServicePolicy service, EngineProfile profile, WaitingStream stream) {
		this.profiles.put(service.name(), profile);
		this.queues.computeIfAbsent(service.name(), (name) -> new StreamQueue()).add(stream);
		advance();
	}

	/**
	 * Queues a stream again whose engine could not be reached. It is considered at the
	 * next poll, so that engines that refuse connections do not keep the event loop busy.
	 * @param service the service of the stream
	 * @param stream the stream, which has been admitted before
	 */
	void addAgain(ServicePolicy service, WaitingStream stream) {
		this.queues.computeIfAbsent(service.name(), (name) -> new StreamQueue()).add(stream);
		schedulePoll();
	}

	void remove(ServicePolicy service, WaitingStream stream) {
		StreamQueue queue = this.queues.get(service.name());
		if (queue != null) {
			queue.remove(stream);
		}
	}

	boolean isChangingRole(BackendNode engine, long nowNanos) {
		return this.peers.isChangingRole(engine.roleKey(), nowNanos);
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

	@Nullable BackendState chooseDecodeEngine(String service, EngineProfile profile, Set<String> tried, RequestMemory memory) {
		long now = System.nanoTime();
		return this.decodeEngineChooser.choose(
				this.backends.accepting(service, BackendRole.DECODE, (node) -> tried.contains(node.id()), now), profile,
				memory, now);
	}

	/** Notifies the listener that the engine usage of a stream has changed. */
	void notifyUsageChanged() {
		this.usageListener.run();
	}

	// A cold engine that is idle counts only if no other engine accepts a prompt.
	private boolean prefillBusy(List<BackendState> engines, long now) {
		List<BackendState> accepting = engines.stream().filter((engine) -> engine.condition().accepts(now)).toList();
		return !engines.isEmpty() && BackendDirectory.warmIfAny(accepting, now)
			.stream()
			.allMatch((engine) -> this.prefillEngineChooser.waitMillis(engine, now) > MAX_PREFILL_WAIT_MILLIS);
	}

	/** Admits the waiting streams that fit and refuses those that have expired. */
	void advance() {
		if (this.advancing) {
			return;
		}
		this.advancing = true;
		long now = System.nanoTime();
		boolean anyWaiting = false;
		try {
			// A refusal may start the next request of its connection, which may add a
			// queue.
			for (Map.Entry<String, StreamQueue> entry : List.copyOf(this.queues.entrySet())) {
				if (entry.getValue().size() > 0) {
					advance(entry.getKey(), entry.getValue(), now);
				}
			}
			anyWaiting = this.queues.values().stream().anyMatch((queue) -> queue.size() > 0);
		}
		finally {
			this.advancing = false;
		}
		if (anyWaiting) {
			schedulePoll();
		}
	}

	private void schedulePoll() {
		if (this.pollScheduled) {
			return;
		}
		this.pollScheduled = true;
		this.loop.schedule(() -> {
			this.pollScheduled = false;
			advance();
		}, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	// A stream that cannot be admitted because of an unexpected error has left the queue.
	// The others are admitted in the next pass.
	private void advance(String service, StreamQueue queue, long now) {
		EngineProfile profile = this.profiles.get(service);
		if (profile == null) {
			return;
		}
		List<BackendState> prefill = this.backends.candidates(service, BackendRole.PREFILL,
				(node) -> isChangingRole(node, now));
		try {
			queue.advance((stream) -> prefillBusy(prefill, now) ? null
					: chooseDecodeEngine(service, profile, stream.triedServers(), stream.memory()), now);
		}
		catch (RuntimeException ex) {
			log.atError().addKeyValue("event", "admission-failed").addKeyValue("service", service).setCause(ex).log();
		}
	}

}
