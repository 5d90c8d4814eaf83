package org.skylarkstack.schedule;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.Duty;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;

/**
 * Placer that requests engines from the soft owner of a model, and that schedules the
 * requests of other VMs when this VM is the soft owner. The soft owner is the one with
 * the highest rendezvous hash for the model among the live VMs that are not leaving; two
 * VMs may disagree about it. The placement state is in {@link PlacementClient} and
 * {@link PlacementOwner}; only the thread of the duty accesses it.
 */
public final class SoftOwnerPlacer implements Placer, AutoCloseable {

	private static final int RING_CAPACITY_MESSAGES = 16_384;

	private static final Duration STEP_PERIOD = Duration.ofMillis(5);

	private static final long RING_FULL_PARK_NANOS = 100_000L;

	private final PlacementClient client;

	private final PlacementOwner owner;

	private final Membership membership;

	private final ConfigurationHolder configuration;

	private final TimeSource time;

	private final Duty<Runnable> duty;

	private final boolean usesSharedQueue;

	private final Set<String> busyModels = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a placer; {@link #start()} starts its duty.
	 * @param vmId the identifier of this VM
	 * @param membership provides the live members
	 * @param transport exchanges messages with the other daemons
	 * @param configuration provides the engines of each model
	 * @param factory creates policies of the configured kind
	 * @param random the random number generator; used by the duty only
	 * @param time the time source
	 */
	public SoftOwnerPlacer(String vmId, Membership membership, PeerTransport transport,
			ConfigurationHolder configuration, Supplier<PlacementPolicy> factory, RandomGenerator random,
			TimeSource time) {
		this.membership = membership;
		this.configuration = configuration;
		this.time = time;
		this.usesSharedQueue = factory.get().usesSharedQueue();
		this.client = new PlacementClient(vmId, membership, transport, configuration, factory, TwoChoicesPolicy::new,
				random);
		this.owner = new PlacementOwner(membership, transport, configuration, factory, random);
		this.duty = new Duty<>("placement", RING_CAPACITY_MESSAGES, STEP_PERIOD, Runnable::run, this::step);
		registerHandlers(transport);
	}

	private void registerHandlers(PeerTransport transport) {
		transport.handle(PlacementOffer.class,
				(from, message) -> this.duty.offer(() -> this.owner.onOffer(from, message, this.time.nanos())));
		transport.handle(PlacementCancel.class,
				(from, message) -> this.duty.offer(() -> this.owner.onCancel(message, this.time.nanos())));
		transport.handle(PlacementEnd.class,
				(from, message) -> this.duty.offer(() -> this.owner.onEnd(from, message, this.time.nanos())));
		transport.handle(PlacementRenewal.class,
				(from, message) -> this.duty.offer(() -> this.owner.onRenewal(from, message, this.time.nanos())));
		transport.handle(PlacementReceipt.class,
				(from, message) -> this.duty.offer(() -> this.client.onReceipt(from, message, this.time.nanos())));
		transport.handle(PlacementGrant.class,
				(from, message) -> this.duty.offer(() -> this.client.onGrant(from, message, this.time.nanos())));
		transport.handle(PlacementRefusal.class,
				(from, message) -> this.duty.offer(() -> this.client.onRefusal(from, message)));
		transport.handle(PlacementEndReceipt.class,
				(from, message) -> this.duty.offer(() -> this.client.onEndReceipt(from, message)));
	}

	/** Starts the duty. */
	public void start() {
		this.duty.start();
	}

	private void step() {
		long now = this.time.nanos();
		this.client.step(now);
		this.owner.step(now);
		for (String model : this.configuration.current().models()) {
			if (this.owner.isBusy(model, now)) {
				this.busyModels.add(model);
			}
			else {
				this.busyModels.remove(model);
			}
		}
	}

	@Override
	public CompletableFuture<Placement> offer(PlacementRequest request) {
		CompletableFuture<Placement> result = new CompletableFuture<>();
		boolean accepted = this.duty.offer(() -> this.client.offer(request, result, this.time.nanos()));
		if (!accepted) {
			result.completeExceptionally(new RouterException(ErrorType.TOO_MANY_REQUESTS));
		}
		return result;
	}

	@Override
	public Placement place(PlacementRequest request) {
		CompletableFuture<Placement> result = offer(request);
		try {
			return result.get();
		}
		catch (InterruptedException ex) {
			if (!result.cancel(true) && !result.isCompletedExceptionally()) {
				release(result.join(), new PlacementRelease(0, ""));
			}
			Thread.currentThread().interrupt();
			throw RouterException.of(ErrorType.NOT_READY, Verdict.NOT_RUN, ex);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof RouterException refused) {
				throw refused;
			}
			throw RouterException.of(ErrorType.INTERNAL, Verdict.NOT_RUN, ex);
		}
	}

	/**
	 * Releases the engines of a request. Blocks while the message queue of the duty is
	 * full, because a lost release would keep engine memory reserved until the grant's
	 * term ends.
	 */
	@Override
	public void release(Placement placement, PlacementRelease release) {
		while (!this.duty.offer(() -> this.client.release(placement, release, this.time.nanos()))) {
			LockSupport.parkNanos(RING_FULL_PARK_NANOS);
		}
	}

	/**
	 * Returns whether this VM needs the load reports of a model. It does if it is the
	 * soft owner, if it schedules requests of the model without being the soft owner, or
	 * if the configured policy decides on each VM locally.
	 * @param model the name of the model
	 * @return whether it needs the load reports
	 */
	public boolean needsLoad(String model) {
		MembershipView view = this.membership.view();
		return !this.usesSharedQueue || this.busyModels.contains(model)
				|| view.softOwner(PlacementOwner.ownerKey(model)).equals(view.self());
	}

	/**
	 * Applies a load report.
	 * @param model the model of the engine
	 * @param engineId the identifier of the engine
	 * @param load the report
	 * @param readNanos the time in nanoseconds at which the report was requested from the
	 * engine
	 */
	public void applyLoadReport(String model, String engineId, EngineLoad load, long readNanos) {
		this.duty.offer(() -> {
			long now = this.time.nanos();
			this.owner.applyLoadReport(model, engineId, load, readNanos, now);
			this.client.applyLoadReport(model, engineId, load, readNanos, now);
		});
	}

	/**
	 * Applies an event of an engine's prefix cache.
	 * @param model the model of the engine
	 * @param event the event
	 */
	public void applyCacheEvent(String model, CacheEvent event) {
		this.duty.offer(() -> this.owner.applyCacheEvent(model, event, this.time.nanos()));
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
