package org.skylarkstack.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.LoanExchange;
import org.skylarkstack.membership.LoanOffer;
import org.skylarkstack.membership.MemberState;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.membership.PeerStatus;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limiter that lends this VM's rate slices to the soft owners of teams and borrows token
 * grants from them. {@link TokenLending} and {@link RateSlotClaimer} make the decisions;
 * this class adds the lock, the clock, the threads and the bounded wait for a grant.
 */
public final class LendingTeamLimiter implements TeamLimiter, LoanExchange, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(LendingTeamLimiter.class);

	private static final long TICK_INTERVAL_MILLIS = 50;

	private static final long SLOT_CHECK_INTERVAL_MILLIS = 100;

	private static final long CLOSE_TIMEOUT_SECONDS = 2;

	// Bounds the threads that wait while no loan arrives, for example because the store
	// is down when the fleet starts.
	private static final int MAX_WAITING = 64;

	private final Object lock = new Object();

	private final LendingTerms terms;

	private final TokenLending lending;

	private final RateSlotClaimer slots;

	private final ConfigurationHolder configuration;

	private final MembershipService membership;

	private final TimeSource time;

	private final Map<Long, CountDownLatch> responseLatches = new HashMap<>();

	private final AtomicInteger waiting = new AtomicInteger();

	private final ScheduledExecutorService tickExecutor;

	private final ScheduledExecutorService slotExecutor;

	private volatile Map<String, PeerStatus> peers = Map.of();

	private volatile boolean stopped;

	/**
	 * Creates a limiter; {@link #start()} starts its threads.
	 * @param vmId the identifier of this VM
	 * @param slotCount the number of rate slots of the fleet
	 * @param terms the terms of leases, loans and grants
	 * @param membership the live members, whose heartbeats carry the loans
	 * @param transport carries token requests, grants and returns between VMs
	 * @param store holds the rows of the rate slots
	 * @param configuration the teams' limits
	 * @param time the source of monotonic time
	 * @param random the source of jitter, of the first slot to try and of the first grant
	 * number
	 */
	public LendingTeamLimiter(String vmId, int slotCount, LendingTerms terms, MembershipService membership,
			PeerTransport transport, TableStore store, ConfigurationHolder configuration, TimeSource time,
			RandomGenerator random) {
		this.terms = terms;
		this.membership = membership;
		this.configuration = configuration;
		this.time = time;
		this.lending = new TokenLending(vmId, membership.incarnation(), slotCount, terms, random.nextLong(), this::team,
				new MembershipReachability(), transport::send);
		this.slots = new RateSlotClaimer(store, vmId, membership.incarnation(), slotCount, terms, random, time.nanos());
		this.tickExecutor = Executors
			.newSingleThreadScheduledExecutor((task) -> new Thread(task, "limit-tick-" + vmId));
		this.slotExecutor = Executors.newSingleThreadScheduledExecutor((task) -> new Thread(task, "rate-slot-" + vmId));
		this.lending.onResponse(this::signalResponse);
		transport.handle(TokenRequest.class, this::onRequest);
		transport.handle(TokenGrant.class, this::onGrant);
		transport.handle(TokenReturn.class, this::onReturn);
		membership.setLoanExchange(this);
		membership.onViewChange(this::viewChanged);
		configuration.onChange((changed) -> limitsChanged());
	}

	/**
	 * Starts the threads. Must be called before the first request and after the peer port
	 * is bound, because {@link RateSlotClaimer} takes this VM's slot back on the
	 * condition that the former process has ended.
	 */
	public void start() {
		viewChanged(this.membership.view());
		this.tickExecutor.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.slotExecutor.scheduleWithFixedDelay(this::stepSlot, 0, SLOT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private @Nullable Team team(String id) {
		return this.configuration.current().team(id).orElse(null);
	}

	private boolean isReachable(String peer, long nowNanos) {
		PeerStatus status = this.peers.get(peer);
		return status != null && status.state() == MemberState.LIVE && status.echoed()
				&& nowNanos - status.lastEchoNanos() <= this.membership.liveNanos();
	}

	private void refreshPeers() {
		Map<String, PeerStatus> statuses = new HashMap<>();
		this.membership.peers().forEach((status) -> statuses.put(status.member().vmId(), status));
		this.peers = statuses;
	}

	private void viewChanged(MembershipView view) {
		List<String> owners = ShardSet.owners(view);
		refreshPeers();
		synchronized (this.lock) {
			this.lending.setOwners(owners, this.time.nanos());
		}
	}

	private void limitsChanged() {
		synchronized (this.lock) {
			this.lending.limitsChanged(this.time.nanos());
		}
	}

	private void tick() {
		try {
			refreshPeers();
			synchronized (this.lock) {
				this.lending.tick(this.time.nanos());
			}
		}
		catch (RuntimeException ex) {
			LOG.atError().addKeyValue("event", "limit_tick_failed").setCause(ex).log();
		}
	}

	private void stepSlot() {
		long now = this.time.nanos();
		if (this.stopped || now - this.slots.nextStepNanos() < 0) {
			return;
		}
		try {
			this.slots.step(now);
		}
		catch (StoreException ex) {
			LOG.atWarn()
				.addKeyValue("event", "rate_slot_step_failed")
				.addKeyValue("effect", ex.effect())
				.addKeyValue("reason", ex.getMessage())
				.log();
		}
		catch (RuntimeException ex) {
			LOG.atError().addKeyValue("event", "rate_slot_step_failed").setCause(ex).log();
		}
		synchronized (this.lock) {
			this.lending.setSlot(this.slots.lease().orElse(null), this.time.nanos());
		}
	}

	@Override
	public TokenReservation reserve(Team team, long tokens, long nowNanos) {
		Team limits = team(team.id());
		if (limits == null) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
		if (tokens > limits.burstTokens()) {
			throw new RouterException(ErrorType.REQUEST_ABOVE_BURST, tokens, team.id(), limits.burstTokens());
		}
		boolean mayWait = this.waiting.incrementAndGet() <= MAX_WAITING;
		try {
			reserve(limits, tokens, mayWait, nowNanos);
		}
		finally {
			this.waiting.decrementAndGet();
		}
		return new TokenReservation(team.id(), tokens);
	}

	private void reserve(Team team, long tokens, boolean mayWait, long nowNanos) {
		ReserveWait wait = new ReserveWait(this.terms, nowNanos);
		long now = nowNanos;
		while (true) {
			CountDownLatch response = new CountDownLatch(1);
			ReserveOutcome outcome;
			synchronized (this.lock) {
				outcome = this.lending.tryReserve(team, tokens, mayWait && wait.responseNanos(now) > 0, now);
				if (outcome.kind() == ReserveOutcome.Kind.ASKED) {
					this.responseLatches.put(outcome.requestId(), response);
				}
			}
			switch (outcome.kind()) {
				case RESERVED -> {
					return;
				}
				case ASKED -> await(response, wait.responseNanos(now));
				default -> pause(team, outcome, mayWait ? wait.pauseNanos(outcome, now) : 0);
			}
			now = this.time.nanos();
			synchronized (this.lock) {
				this.responseLatches.remove(outcome.requestId());
				this.lending.dropRequest(outcome.requestId());
			}
		}
	}

	private void pause(Team team, ReserveOutcome outcome, long nanos) {
		if (nanos <= 0) {
			LOG.atInfo()
				.addKeyValue("event", "tokens_refused")
				.addKeyValue("team", team.id())
				.addKeyValue("reason", outcome.kind())
				.addKeyValue("wait_ms", Duration.ofNanos(outcome.waitNanos()).toMillis())
				.log();
			throw refusal(team, outcome.waitNanos());
		}
		LockSupport.parkNanos(this, nanos);
	}

	private static RouterException refusal(Team team, long waitNanos) {
		return RouterException.retryAfter(ErrorType.RATE_LIMITED, Duration.ofNanos(waitNanos), team.id());
	}

	private static void await(CountDownLatch response, long nanos) {
		try {
			response.await(nanos, TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void settle(TokenReservation reservation, long usedTokens, long nowNanos) {
		if (reservation.markSettled()) {
			synchronized (this.lock) {
				this.lending.refund(reservation.teamId(), reservation.tokens() - Math.max(0, usedTokens), nowNanos);
			}
		}
	}

	private void onRequest(String from, TokenRequest request) {
		synchronized (this.lock) {
			this.lending.onRequest(from, request, this.time.nanos());
		}
	}

	private void onGrant(String from, TokenGrant grant) {
		synchronized (this.lock) {
			this.lending.onGrant(from, grant, this.time.nanos());
		}
	}

	private void signalResponse(long requestId) {
		CountDownLatch response = this.responseLatches.get(requestId);
		if (response != null) {
			response.countDown();
		}
	}

	private void onReturn(String from, TokenReturn returned) {
		synchronized (this.lock) {
			this.lending.onReturn(from, returned, this.time.nanos());
		}
	}

	@Override
	public @Nullable LoanOffer offer(String peer, long incarnation, long nowNanos) {
		synchronized (this.lock) {
			return this.lending.offer(peer, incarnation, nowNanos);
		}
	}

	@Override
	public void accept(String lender, long incarnation, LoanOffer offer, long countedFromNanos, long nowNanos) {
		synchronized (this.lock) {
			this.lending.accept(lender, incarnation, offer, countedFromNanos, nowNanos);
		}
	}

	/**
	 * Returns the rate slot that this VM holds, as shown to operators.
	 * @return the number of the slot, or -1 if this VM holds none that is usable now
	 */
	public int slot() {
		synchronized (this.lock) {
			return this.lending.usableSlot(this.time.nanos());
		}
	}

	/**
	 * Returns how often the store no longer held the last claim or renewal of this VM's
	 * rate slot.
	 * @return the count since start
	 */
	public long lostSlotClaims() {
		return this.slots.lostClaims();
	}

	/** Stops the threads without returning the slot, as after a crash of the process. */
	public void abandon() {
		this.stopped = true;
		this.tickExecutor.shutdownNow();
		this.slotExecutor.shutdownNow();
	}

	/**
	 * Stops using and lending the slices and returns the slot to the store. Waits for the
	 * store for at most {@value #CLOSE_TIMEOUT_SECONDS} s.
	 */
	@Override
	public void close() {
		this.stopped = true;
		this.tickExecutor.shutdownNow();
		synchronized (this.lock) {
			this.lending.setSlot(null, this.time.nanos());
		}
		this.slotExecutor.execute(this::release);
		this.slotExecutor.shutdown();
		try {
			this.slotExecutor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void release() {
		synchronized (this.lock) {
			this.lending.setSlot(null, this.time.nanos());
		}
		try {
			this.slots.release();
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "rate_slot_not_returned").addKeyValue("reason", ex.getMessage()).log();
		}
	}

	/**
	 * Reachability of the peers according to the last membership statuses.
	 */
	private final class MembershipReachability implements TokenLending.PeerReachability {

		@Override
		public boolean isReachable(String peer, long nowNanos) {
			return LendingTeamLimiter.this.isReachable(peer, nowNanos);
		}

		@Override
		public long incarnation(String peer) {
			PeerStatus status = LendingTeamLimiter.this.peers.get(peer);
			return (status != null) ? status.member().incarnation() : 0;
		}

		@Override
		public long sentNanos(String peer) {
			PeerStatus status = LendingTeamLimiter.this.peers.get(peer);
			return (status != null) ? status.peerSentNanos() : 0;
		}

	}

}
