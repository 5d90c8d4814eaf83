package org.skylarkstack.limit;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.membership.LoanOffer;
import org.skylarkstack.peer.PeerMessage;

/**
 * State machine of the fleet-wide token limits on one VM. It has no threads, clocks or
 * sockets: callers pass the time and the messages.
 *
 * <p>
 * The teams are hashed into shards, and each shard has a soft owner among the live VMs. A
 * VM that holds a rate slot has a slice of each shard, which is an equal share of the
 * rate and burst of the shard's teams. The VM lends the slice to the soft owner for a
 * limited term. The owner pools the slices of a shard and grants tokens from the pool to
 * the VMs that request them.
 *
 * <p>
 * Invariant of the fleet: at any moment the unspent tokens of a team on all VMs,
 * including outstanding grants, are at most its burst, and tokens are created at most at
 * its rate. In each window of t seconds, reservations minus refunds are therefore at most
 * rate x t + burst. It holds because
 * <ul>
 * <li>a slice belongs to one VM ({@link RateSlotClaimer}) and is in at most one pool at a
 * time ({@link SliceLender});</li>
 * <li>a pool creates tokens at most at the rate of its slices and holds at most their
 * burst, including outstanding grants ({@link ShardPool}, {@link TeamLedger});</li>
 * <li>a slice carries no tokens when it moves to another pool;</li>
 * <li>a borrower spends a grant only while the owner counts it as outstanding
 * ({@link BorrowedGrants});</li>
 * <li>the owner accepts a returned grant only while it counts the grant as outstanding,
 * and a refund only up to the least headroom of its pool since a time before the refund
 * was sent.</li>
 * </ul>
 * While VMs have different limits of a team in their configurations, the bound is that of
 * the highest rate and the highest burst among them. Not thread-safe.
 */
public final class TokenLending {

	/** Tokens for this many seconds of recent demand are requested in advance. */
	private static final double PREFETCH_SECONDS = 0.25;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/**
	 * Longest time for which a refusal suppresses further requests to the owner. It
	 * limits the messages for a team that is over its rate.
	 */
	private static final long MAX_REFUSAL_NANOS = 20_000_000L;

	/** Wait that is stated if the owner does not respond or has no slices. */
	private static final long UNKNOWN_WAIT_NANOS = 200_000_000L;

	private static final long RESPONSE_TIMEOUT_NANOS = 500_000_000L;

	private static final int EVICTION_INTERVAL_TICKS = 20;

	private final String self;

	private final long incarnation;

	private final int slotCount;

	private final LendingTerms terms;

	private final Function<String, @Nullable Team> teams;

	private final BiConsumer<String, PeerMessage> sender;

	private final PeerReachability reachability;

	private final SliceLender lender;

	private final Map<Integer, ShardPool> pools = new HashMap<>();

	private final Map<String, BorrowedGrants> grantsByTeam = new HashMap<>();

	private final Map<String, BitSet> shardsByOwner = new HashMap<>();

	private final String[] owners = new String[ShardSet.SHARDS];

	private @Nullable RateSlotLease slot;

	private boolean started;

	private long settledNanos;

	private LongConsumer responseListener = (requestId) -> {
	};

	private final Map<Long, Long> neededTokensByRequest = new HashMap<>();

	private long nextRequestId = 1;

	private long nextGrantId;

	private int ticks;

	/**
	 * Creates the state of a VM that holds no slot, slices or grants. It regards itself
	 * as the owner of all shards.
	 * @param self the identifier of this VM
	 * @param incarnation the random number that identifies this start of the daemon
	 * @param slotCount the number of rate slots of the fleet
	 * @param terms the terms of loans and grants
	 * @param firstGrantId a random number, so that grants of different VMs and starts
	 * have different numbers
	 * @param teams finds the limits in force; {@code null} for a deleted team
	 * @param reachability determines which peers are reachable
	 * @param sender sends a message to a VM
	 */
	public TokenLending(String self, long incarnation, int slotCount, LendingTerms terms, long firstGrantId,
			Function<String, @Nullable Team> teams, PeerReachability reachability,
			BiConsumer<String, PeerMessage> sender) {
		this.self = self;
		this.incarnation = incarnation;
		this.slotCount = slotCount;
		this.terms = terms;
		this.nextGrantId = firstGrantId;
		this.teams = teams;
		this.reachability = reachability;
		this.sender = sender;
		this.lender = new SliceLender(terms);
		Arrays.fill(this.owners, self);
		this.shardsByOwner.computeIfAbsent(self, (vm) -> new BitSet()).set(0, ShardSet.SHARDS);
	}

	/**
	 * Sets the listener for responses to token requests.
	 * @param listener called with the number of the request, 0 for one that requested
	 * tokens only in advance
	 */
	public void onResponse(LongConsumer listener) {
		this.responseListener = listener;
	}

	/**
	 * Sets the soft owner of each shard.
	 * @param newOwners the identifiers of the owners, in the order of the shards
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void setOwners(List<String> newOwners, long nowNanos) {
		beginSettling(nowNanos);
		this.shardsByOwner.clear();
		for (int shard = 0; shard < ShardSet.SHARDS; shard++) {
			this.owners[shard] = newOwners.get(shard);
			this.shardsByOwner.computeIfAbsent(newOwners.get(shard), (vm) -> new BitSet()).set(shard);
		}
	}

	/**
	 * Sets the rate slot that this VM holds. If the former slot is lost or replaced, its
	 * slices are withdrawn from the pools of this VM.
	 * @param held the slot, or {@code null} for none
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void setSlot(@Nullable RateSlotLease held, long nowNanos) {
		RateSlotLease former = this.slot;
		this.slot = held;
		if (former == null && held != null) {
			beginSettling(nowNanos);
		}
		if (former != null && (held == null || held.slot() != former.slot())) {
			withdrawOwnSlices(nowNanos);
		}
	}

	// Until the slices have moved, a pool may lack tokens that the team has not used.
	private void beginSettling(long nowNanos) {
		this.started = true;
		this.settledNanos = nowNanos + this.terms.settlingNanos();
	}

	private boolean isSettled(long nowNanos) {
		return this.started && nowNanos - this.settledNanos >= 0;
	}

	private void withdrawOwnSlices(long nowNanos) {
		for (int shard = 0; shard < ShardSet.SHARDS; shard++) {
			if (this.lender.isInOwnPool(shard)) {
				withdrawOwnSlice(shard, nowNanos);
			}
		}
	}

	private void withdrawOwnSlice(int shard, long nowNanos) {
		ShardPool pool = pool(shard);
		pool.removeSlice(this.self, nowNanos);
		this.lender.removeFromOwnPool(shard, pool.hasOutstanding(nowNanos), nowNanos);
	}

	private ShardPool pool(int shard) {
		return this.pools.computeIfAbsent(shard, (key) -> new ShardPool(this.terms, this.slotCount));
	}

	private BorrowedGrants grants(String teamId, long nowNanos) {
		return this.grantsByTeam.computeIfAbsent(teamId, (id) -> new BorrowedGrants(nowNanos));
	}

	/**
	 * Tries to reserve tokens from the grants and the pool of this VM. If they do not
	 * suffice, it requests the missing tokens from the owner.
	 * @param team the team with its limits in force
	 * @param tokens the tokens to reserve, all or none
	 * @param mayRequest whether a request may be sent to the owner
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the tokens are reserved, requested or refused, or whether this is
	 * undecided
	 */
	public ReserveOutcome tryReserve(Team team, long tokens, boolean mayRequest, long nowNanos) {
		int shard = ShardSet.shardOf(team.id());
		refreshOwnSlice(shard, nowNanos);
		BorrowedGrants grants = grants(team.id(), nowNanos);
		if (takeLocally(team, shard, grants, tokens, nowNanos)) {
			grants.recordDemand(tokens, nowNanos);
			return ReserveOutcome.RESERVED;
		}
		String owner = this.owners[shard];
		if (owner.equals(this.self)) {
			return shortage(pool(shard).hasSlices(nowNanos), localWaitNanos(team, shard, tokens, nowNanos), nowNanos);
		}
		long missing = tokens - grants.available(nowNanos);
		boolean refusedByOwner = grants.wouldBeRefused(missing, nowNanos);
		if (!mayRequest || refusedByOwner || !this.reachability.isReachable(owner, nowNanos)) {
			long wait = grants.waitNanos(nowNanos);
			return shortage(refusedByOwner, (wait > 0) ? wait : UNKNOWN_WAIT_NANOS, nowNanos);
		}
		long requestId = this.nextRequestId++;
		this.neededTokensByRequest.put(requestId, missing);
		this.sender.accept(owner, new TokenRequest(this.incarnation, requestId, nowNanos, team.id(), missing,
				prefetchTokens(grants, 0, nowNanos), grants.takeChangedBalances(owner)));
		return ReserveOutcome.asked(requestId);
	}

	private ReserveOutcome shortage(boolean decidedByOwner, long waitNanos, long nowNanos) {
		return (decidedByOwner && isSettled(nowNanos)) ? ReserveOutcome.refused(waitNanos)
				: ReserveOutcome.undecided(waitNanos);
	}

	private long localWaitNanos(Team team, int shard, long tokens, long nowNanos) {
		ShardPool pool = pool(shard);
		return pool.hasSlices(nowNanos) ? pool.nanosUntil(team, tokens, nowNanos) : UNKNOWN_WAIT_NANOS;
	}

	private boolean takeLocally(Team team, int shard, BorrowedGrants grants, long tokens, long nowNanos) {
		long held = grants.available(nowNanos);
		long fromPool = Math.max(0, tokens - held);
		if (fromPool > 0 && !pool(shard).take(team, fromPool, nowNanos)) {
			return false;
		}
		grants.take(tokens - fromPool);
		return true;
	}

	private static long prefetchTokens(BorrowedGrants grants, long available, long nowNanos) {
		return Math.max(0, (long) (grants.demand(nowNanos) * PREFETCH_SECONDS) - available);
	}

	/**
	 * Returns the unused tokens of a reservation to a pool of this VM or to the owner.
	 * @param teamId the team
	 * @param tokens the unused tokens; nothing happens if not above 0
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void refund(String teamId, long tokens, long nowNanos) {
		if (tokens > 0) {
			int shard = ShardSet.shardOf(teamId);
			returnTokens(this.owners[shard], teamId, tokens, List.of(), nowNanos);
		}
	}

	private void returnTokens(String owner, String teamId, long tokens, List<GrantBalance> balances, long nowNanos) {
		int shard = ShardSet.shardOf(teamId);
		Team team = this.teams.apply(teamId);
		if (balances.isEmpty() && team != null && pool(shard).hasSlices(nowNanos)) {
			pool(shard).putBack(team, tokens, nowNanos);
		}
		else if (!owner.equals(this.self)) {
			this.sender.accept(owner, new TokenReturn(teamId, tokens, this.reachability.incarnation(owner),
					this.reachability.sentNanos(owner), balances));
		}
	}

	/**
	 * Responds to a request for tokens. If the tokens do not suffice or this VM has no
	 * slices of the shard, the response grants 0 tokens and states a wait.
	 * @param from the borrowing VM
	 * @param request the needed and wanted tokens and the balances of earlier grants
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void onRequest(String from, TokenRequest request, long nowNanos) {
		Team team = this.teams.apply(request.teamId());
		int shard = ShardSet.shardOf(request.teamId());
		long granted = 0;
		long wait = UNKNOWN_WAIT_NANOS;
		long grantId = this.nextGrantId++;
		refreshOwnSlice(shard, nowNanos);
		ShardPool pool = pool(shard);
		if (team != null && pool.hasSlices(nowNanos)) {
			pool.applyBalances(team, from, request.balances(), nowNanos);
			granted = pool.grant(team, from, grantId, Math.max(0, request.neededTokens()),
					Math.max(0, request.wantedTokens()), nowNanos);
			wait = (granted >= request.neededTokens()) ? 0 : pool.nanosUntil(team, request.neededTokens(), nowNanos);
		}
		this.sender.accept(from, new TokenGrant(request.incarnation(), request.requestId(), request.sentNanos(),
				request.teamId(), grantId, granted, wait));
	}

	/**
	 * Processes a response to a token request. A response to an earlier incarnation of
	 * this VM is ignored.
	 * @param from the responding VM
	 * @param grant the granted tokens, or 0 tokens and a wait
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void onGrant(String from, TokenGrant grant, long nowNanos) {
		if (grant.incarnation() != this.incarnation) {
			return;
		}
		BorrowedGrants grants = grants(grant.teamId(), nowNanos);
		grants.setRequestPending(false, nowNanos);
		Long needed = this.neededTokensByRequest.remove(grant.requestId());
		if (needed != null && grant.waitNanos() > 0) {
			grants.recordRefusal(needed, grant.waitNanos(), MAX_REFUSAL_NANOS, nowNanos);
		}
		if (grant.tokens() > 0) {
			grants.add(from, grant.grantId(), grant.tokens(), grant.sentNanos() + this.terms.grantTermNanos(),
					nowNanos);
		}
		this.responseListener.accept(grant.requestId());
	}

	/**
	 * Drops the state of a request whose response is no longer awaited.
	 * @param requestId the number of the request
	 */
	public void dropRequest(long requestId) {
		this.neededTokensByRequest.remove(requestId);
	}

	/**
	 * Puts returned tokens back into the pool of their shard. Tokens of a grant count
	 * only as far as the grant was still outstanding. A refund, which carries no
	 * balances, counts only up to the least headroom of the pool since it was sent, and
	 * not if it names another incarnation of this VM.
	 * @param from the returning VM
	 * @param returned the tokens and the balances of grants
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void onReturn(String from, TokenReturn returned, long nowNanos) {
		Team team = this.teams.apply(returned.teamId());
		ShardPool pool = pool(ShardSet.shardOf(returned.teamId()));
		if (team != null && returned.tokens() >= 0) {
			double ended = pool.applyBalances(team, from, returned.balances(), nowNanos);
			if (!returned.balances().isEmpty()) {
				pool.putBack(team, Math.min(returned.tokens(), ended), nowNanos);
			}
			else if (returned.ownerIncarnation() == this.incarnation) {
				pool.putBackDelayed(team, returned.tokens(), returned.ownerNanos(), nowNanos);
			}
		}
	}

	/**
	 * Lends a peer the slices of the shards that it owns, with a heartbeat sent now.
	 * @param peer the receiving VM
	 * @param peerIncarnation the incarnation of the receiving VM
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the loan, or {@code null} for none
	 */
	public @Nullable LoanOffer offer(String peer, long peerIncarnation, long nowNanos) {
		BitSet wanted = this.shardsByOwner.get(peer);
		RateSlotLease held = this.slot;
		if (wanted == null || held == null || !held.isUsable(nowNanos)
				|| !this.reachability.isReachable(peer, nowNanos)) {
			return null;
		}
		// This VM uses the slice itself until it sends the heartbeat that lends it.
		wanted.stream().filter(this.lender::isInOwnPool).forEach((shard) -> withdrawOwnSlice(shard, nowNanos));
		long longest = (long) ((held.endNanos() - nowNanos) / (1 + this.terms.driftShare())) - 1;
		long term = Math.min(this.terms.loanTermNanos(), longest);
		if (term <= 0) {
			return null;
		}
		BitSet lent = this.lender.lend(wanted, peer, peerIncarnation, term, nowNanos);
		return lent.isEmpty() ? null : new LoanOffer(ShardSet.encode(lent), this.slotCount, term);
	}

	/**
	 * Adds the slices of a loan to the pools of this VM. The loan is ignored if the
	 * number of rate slots in the settings of the lender differs from that of this VM.
	 * @param from the lending VM
	 * @param lenderIncarnation the incarnation of the lending VM
	 * @param offer the shards and the term
	 * @param countedFromNanos the timestamp of this VM that the lender echoed with the
	 * loan, from which the term is counted; the loan is ignored if it lies in the future
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void accept(String from, long lenderIncarnation, LoanOffer offer, long countedFromNanos, long nowNanos) {
		if (offer.slices() == this.slotCount && countedFromNanos - nowNanos <= 0) {
			ShardSet.decode(offer.shards())
				.stream()
				.forEach((shard) -> pool(shard).addSlice(from, lenderIncarnation, countedFromNanos + offer.termNanos(),
						nowNanos));
		}
	}

	private void refreshOwnSlice(int shard, long nowNanos) {
		refreshOwnSlice(shard, actsAsOwner(this.owners[shard], nowNanos), nowNanos);
	}

	private boolean actsAsOwner(String owner, long nowNanos) {
		return owner.equals(this.self) || !this.reachability.isReachable(owner, nowNanos);
	}

	private void refreshOwnSlice(int shard, boolean keepsSlice, long nowNanos) {
		RateSlotLease held = (this.slot != null && this.slot.isUsable(nowNanos)) ? this.slot : null;
		if (this.lender.isInOwnPool(shard)) {
			if (held == null) {
				withdrawOwnSlice(shard, nowNanos);
			}
			else if (this.lender.updateOwnEnd(shard, held.endNanos())) {
				pool(shard).addSlice(this.self, this.incarnation, held.endNanos(), nowNanos);
			}
		}
		else if (held != null && keepsSlice && this.lender.isLoanOver(shard, nowNanos)) {
			this.lender.addToOwnPool(shard, held.endNanos());
			pool(shard).addSlice(this.self, this.incarnation, held.endNanos(), nowNanos);
		}
	}

	/**
	 * Updates the slices in the pools of this VM, requests tokens in advance, returns
	 * surplus tokens and drops the state of idle teams. To be called periodically.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void tick(long nowNanos) {
		this.shardsByOwner.forEach((owner, shards) -> {
			boolean keepsSlice = actsAsOwner(owner, nowNanos);
			shards.stream().forEach((shard) -> refreshOwnSlice(shard, keepsSlice, nowNanos));
		});
		for (Iterator<Map.Entry<String, BorrowedGrants>> it = this.grantsByTeam.entrySet().iterator(); it.hasNext();) {
			Map.Entry<String, BorrowedGrants> entry = it.next();
			returnAndPrefetch(entry.getKey(), entry.getValue(), nowNanos);
			if (entry.getValue().isIdle(nowNanos)) {
				it.remove();
			}
		}
		if (++this.ticks % EVICTION_INTERVAL_TICKS == 0) {
			this.pools.values().forEach((pool) -> pool.applyLimitsAndEvict(this.teams, nowNanos));
			this.pools.values().removeIf(ShardPool::isIdle);
		}
	}

	private void returnAndPrefetch(String teamId, BorrowedGrants grants, long nowNanos) {
		String current = this.owners[ShardSet.shardOf(teamId)];
		for (String owner : grants.owners()) {
			long returnedTokens = grants.removeSurplus(owner, this.terms.grantTermNanos() / 2, nowNanos);
			List<GrantBalance> balances = grants.takeChangedBalances(owner);
			if (!balances.isEmpty()) {
				returnTokens(owner, teamId, returnedTokens, balances, nowNanos);
			}
		}
		long available = grants.available(nowNanos);
		long wanted = prefetchTokens(grants, available, nowNanos);
		if (wanted > available && !current.equals(this.self)
				&& !grants.isRequestPending(RESPONSE_TIMEOUT_NANOS, nowNanos)
				&& this.reachability.isReachable(current, nowNanos)) {
			grants.setRequestPending(true, nowNanos);
			this.sender.accept(current, new TokenRequest(this.incarnation, 0, nowNanos, teamId, 0, wanted, List.of()));
		}
	}

	/**
	 * Applies changed limits to the pools of this VM.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void limitsChanged(long nowNanos) {
		this.pools.values().forEach((pool) -> pool.applyLimitsAndEvict(this.teams, nowNanos));
	}

	/**
	 * Returns the rate slot that is usable now.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number of the slot, or -1 for none
	 */
	public int usableSlot(long nowNanos) {
		RateSlotLease held = this.slot;
		return (held != null && held.isUsable(nowNanos)) ? held.slot() : -1;
	}

	/**
	 * Returns the number of team states that this VM holds.
	 * @return the number of states of borrowed grants plus the number of ledgers
	 */
	public int teamStateCount() {
		return this.grantsByTeam.size() + this.pools.values().stream().mapToInt(ShardPool::ledgerCount).sum();
	}

	/**
	 * Reachability of peers, and the incarnation and timestamp in their last heartbeats.
	 */
	public interface PeerReachability {

		/**
		 * Returns whether a peer is live and has recently echoed a timestamp of this VM,
		 * so that messages pass in both directions.
		 * @param peer the identifier of the peer
		 * @param nowNanos the monotonic time in nanoseconds
		 * @return whether the peer is reachable
		 */
		boolean isReachable(String peer, long nowNanos);

		/**
		 * Returns the incarnation in the last heartbeat of a peer.
		 * @param peer the identifier of the peer
		 * @return the incarnation, 0 if the peer is unknown
		 */
		long incarnation(String peer);

		/**
		 * Returns the timestamp in the last heartbeat of a peer.
		 * @param peer the identifier of the peer
		 * @return the peer's monotonic time in nanoseconds, 0 if the peer is unknown
		 */
		long sentNanos(String peer);

	}

}
