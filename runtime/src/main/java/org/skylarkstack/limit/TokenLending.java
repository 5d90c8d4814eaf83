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
 * Slices, loans and grants of one VM, without threads, clocks and sockets.
 *
 * <p>
 * Invariant of the fleet: at any moment the unspent tokens of a team on all VMs,
 * outstanding grants included, are at most its burst, and they are created at most at its
 * rate. In each window of t seconds, reservations less refunds are therefore at most rate
 * x t + burst. It holds because
 * <ul>
 * <li>a slice belongs to one VM ({@link SlotClaimer}) and is in one place
 * ({@link SliceLender});</li>
 * <li>the place of a slice creates at most the slice's rate and holds at most its burst,
 * grants included ({@link ShardPool}, {@link TeamLedger});</li>
 * <li>a slice carries no tokens when it moves;</li>
 * <li>a grant is spent only while its owner counts it ({@link BorrowedGrants});</li>
 * <li>a returned grant is taken only while its owner still counts it, and a refund only
 * as far as its place has had room for it since before it was sent.</li>
 * </ul>
 * While VMs know different limits of a team, its bound is that of the highest rate and
 * the highest burst among them. Not thread-safe.
 */
public final class TokenLending {

	/** Share of a second of recent demand that is held in advance. */
	private static final double PREFETCH_SECONDS = 0.25;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** Bounds the questions of a team that is over its rate. */
	private static final long MAX_REFUSAL_NANOS = 20_000_000L;

	/** Wait stated when the owner does not answer or has no slices. */
	private static final long UNKNOWN_WAIT_NANOS = 200_000_000L;

	private static final long ANSWER_TIMEOUT_NANOS = 500_000_000L;

	private static final int EVICTION_INTERVAL_TICKS = 20;

	private final String self;

	private final long incarnation;

	private final int slotCount;

	private final LendingTerms terms;

	private final Function<String, @Nullable Team> teams;

	private final BiConsumer<String, PeerMessage> sender;

	private final PeerReach reach;

	private final SliceLender lender;

	private final Map<Integer, ShardPool> pools = new HashMap<>();

	private final Map<String, BorrowedGrants> grantsByTeam = new HashMap<>();

	private final Map<String, BitSet> shardsByOwner = new HashMap<>();

	private final String[] owners = new String[ShardSet.SHARDS];

	private @Nullable SlotLease slot;

	private LongConsumer answerListener = (requestId) -> {
	};

	private final Map<Long, Long> neededTokensByRequest = new HashMap<>();

	private long nextRequestId = 1;

	private long nextGrantId;

	private int ticks;

	/**
	 * Creates the state of a VM that holds nothing.
	 * @param self this VM
	 * @param incarnation the random number of this start
	 * @param slotCount the number of rate slots of the fleet
	 * @param terms the time bounds
	 * @param firstGrantId a random number, so that grants of different VMs and starts
	 * have different numbers
	 * @param teams finds the limits in force; {@code null} for a deleted team
	 * @param reach which peers answer
	 * @param sender sends messages
	 */
	public TokenLending(String self, long incarnation, int slotCount, LendingTerms terms, long firstGrantId,
			Function<String, @Nullable Team> teams, PeerReach reach, BiConsumer<String, PeerMessage> sender) {
		this.self = self;
		this.incarnation = incarnation;
		this.slotCount = slotCount;
		this.terms = terms;
		this.nextGrantId = firstGrantId;
		this.teams = teams;
		this.reach = reach;
		this.sender = sender;
		this.lender = new SliceLender(terms);
		Arrays.fill(this.owners, self);
		this.shardsByOwner.computeIfAbsent(self, (vm) -> new BitSet()).set(0, ShardSet.SHARDS);
	}

	/**
	 * Sets the listener for answers to requests of reservations.
	 * @param listener called with the number of the request
	 */
	public void onAnswer(LongConsumer listener) {
		this.answerListener = listener;
	}

	/**
	 * Sets the soft owner of each shard.
	 * @param newOwners the VMs by shard
	 */
	public void owners(List<String> newOwners) {
		this.shardsByOwner.clear();
		for (int shard = 0; shard < ShardSet.SHARDS; shard++) {
			this.owners[shard] = newOwners.get(shard);
			this.shardsByOwner.computeIfAbsent(newOwners.get(shard), (vm) -> new BitSet()).set(shard);
		}
	}

	/**
	 * Sets the rate slot that this VM holds.
	 * @param held the slot, or {@code null} for none
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void slot(@Nullable SlotLease held, long nowNanos) {
		SlotLease former = this.slot;
		this.slot = held;
		if (former != null && (held == null || held.slot() != former.slot())) {
			withdrawOwnSlices(nowNanos);
		}
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
	 * Tries to reserve tokens from what is held here; asks the owner for what is missing.
	 * @param team the team with its limits in force
	 * @param tokens the tokens
	 * @param mayAsk whether the owner may be asked
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the outcome
	 */
	public ReserveOutcome tryReserve(Team team, long tokens, boolean mayAsk, long nowNanos) {
		int shard = ShardSet.shardOf(team.id());
		refreshOwnSlice(shard, nowNanos);
		BorrowedGrants grants = grants(team.id(), nowNanos);
		if (takeLocally(team, shard, grants, tokens, nowNanos)) {
			grants.recordDemand(tokens, nowNanos);
			return ReserveOutcome.RESERVED;
		}
		String owner = this.owners[shard];
		if (owner.equals(this.self)) {
			return ReserveOutcome.refused(localWaitNanos(team, shard, tokens, nowNanos));
		}
		long missing = tokens - grants.available(nowNanos);
		if (!mayAsk || grants.wouldBeRefused(missing, nowNanos) || !this.reach.answers(owner, nowNanos)) {
			long wait = grants.waitNanos(nowNanos);
			return ReserveOutcome.refused((wait > 0) ? wait : UNKNOWN_WAIT_NANOS);
		}
		long requestId = this.nextRequestId++;
		this.neededTokensByRequest.put(requestId, missing);
		this.sender.accept(owner, new TokenRequest(this.incarnation, requestId, nowNanos, team.id(), missing,
				prefetchTokens(grants, 0, nowNanos), grants.takeChangedBalances(owner)));
		return ReserveOutcome.asked(requestId);
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
	 * Returns the unused rest of a reservation.
	 * @param teamId the team
	 * @param tokens the tokens not used
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
			this.sender.accept(owner, new TokenReturn(teamId, tokens, this.reach.incarnation(owner),
					this.reach.sentNanos(owner), balances));
		}
	}

	/**
	 * Answers a request for tokens.
	 * @param from the borrowing VM
	 * @param request the request
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
	 * Takes an answer to a request for tokens.
	 * @param from the owner
	 * @param grant the answer
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
		this.answerListener.accept(grant.requestId());
	}

	/**
	 * Forgets a request whose answer is no longer awaited.
	 * @param requestId the number of the request
	 */
	public void forget(long requestId) {
		this.neededTokensByRequest.remove(requestId);
	}

	/**
	 * Takes returned tokens.
	 * @param from the returning VM
	 * @param returned the tokens and balances
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
	 * Returns what is lent to a peer with a heartbeat sent now.
	 * @param peer the peer
	 * @param peerIncarnation its incarnation
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the loan, or {@code null} for none
	 */
	public @Nullable LoanOffer offer(String peer, long peerIncarnation, long nowNanos) {
		BitSet wanted = this.shardsByOwner.get(peer);
		SlotLease held = this.slot;
		if (wanted == null || held == null || !held.isUsable(nowNanos) || !this.reach.answers(peer, nowNanos)) {
			return null;
		}
		// The slice stays in use here until the heartbeat that lends it.
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
	 * Takes a loan.
	 * @param from the lending VM
	 * @param lenderIncarnation its incarnation
	 * @param offer the loan
	 * @param countedFromNanos this VM's own timestamp that came back with the loan
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
		return owner.equals(this.self) || !this.reach.answers(owner, nowNanos);
	}

	private void refreshOwnSlice(int shard, boolean keepsSlice, long nowNanos) {
		SlotLease held = (this.slot != null && this.slot.isUsable(nowNanos)) ? this.slot : null;
		if (this.lender.isInOwnPool(shard)) {
			if (held == null) {
				withdrawOwnSlice(shard, nowNanos);
			}
			else if (this.lender.updateOwnEnd(shard, held.endNanos())) {
				pool(shard).addSlice(this.self, this.incarnation, held.endNanos(), nowNanos);
			}
		}
		else if (held != null && keepsSlice && this.lender.isNotLent(shard, nowNanos)) {
			this.lender.addToOwnPool(shard, held.endNanos());
			pool(shard).addSlice(this.self, this.incarnation, held.endNanos(), nowNanos);
		}
	}

	/**
	 * Moves slices, asks for tokens in advance, returns unspent ones and drops the state
	 * of idle teams.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void tick(long nowNanos) {
		this.shardsByOwner.forEach((owner, shards) -> {
			boolean keepsSlice = actsAsOwner(owner, nowNanos);
			shards.stream().forEach((shard) -> refreshOwnSlice(shard, keepsSlice, nowNanos));
		});
		for (Iterator<Map.Entry<String, BorrowedGrants>> all = this.grantsByTeam.entrySet().iterator(); all
			.hasNext();) {
			Map.Entry<String, BorrowedGrants> entry = all.next();
			returnAndPrefetch(entry.getKey(), entry.getValue(), nowNanos);
			if (entry.getValue().isIdle(nowNanos)) {
				all.remove();
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
		if (wanted > available && !current.equals(this.self) && !grants.isRequestPending(ANSWER_TIMEOUT_NANOS, nowNanos)
				&& this.reach.answers(current, nowNanos)) {
			grants.setRequestPending(true, nowNanos);
			this.sender.accept(current, new TokenRequest(this.incarnation, 0, nowNanos, teamId, 0, wanted, List.of()));
		}
	}

	/**
	 * Applies a change of limits.
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
		SlotLease held = this.slot;
		return (held != null && held.isUsable(nowNanos)) ? held.slot() : -1;
	}

	/**
	 * Returns how many teams have state here.
	 * @return the number of stocks and ledgers
	 */
	public int teamStates() {
		return this.grantsByTeam.size() + this.pools.values().stream().mapToInt(ShardPool::ledgerCount).sum();
	}

	/**
	 * Tells which peers answer.
	 */
	public interface PeerReach {

		/**
		 * Returns whether a peer is live and has lately echoed a timestamp of this VM.
		 * @param peer the peer
		 * @param nowNanos the monotonic time in nanoseconds
		 * @return whether messages pass in both directions
		 */
		boolean answers(String peer, long nowNanos);

		/**
		 * Returns the incarnation of a peer that was heard from last.
		 * @param peer the peer
		 * @return the incarnation, 0 if there is none
		 */
		long incarnation(String peer);

		/**
		 * Returns the peer's timestamp in its last heartbeat.
		 * @param peer the peer
		 * @return the peer's monotonic time in nanoseconds
		 */
		long sentNanos(String peer);

	}

}
