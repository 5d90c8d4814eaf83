package org.skylarkstack.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.limit.RateSlotClaimer;
import org.skylarkstack.limit.ReserveOutcome;
import org.skylarkstack.limit.ReserveWait;
import org.skylarkstack.limit.ShardSet;
import org.skylarkstack.limit.TokenGrant;
import org.skylarkstack.limit.TokenLending;
import org.skylarkstack.limit.TokenRequest;
import org.skylarkstack.limit.TokenReturn;
import org.skylarkstack.membership.Heartbeat;
import org.skylarkstack.membership.LoanOffer;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.MemberState;
import org.skylarkstack.membership.MembershipTable;
import org.skylarkstack.membership.MembershipTiming;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.membership.PeerStatus;
import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.store.StoreException;

/**
 * VM of a simulation, with its own clock and, while its daemon runs, membership, slot and
 * lending state. While a VM is paused, its clock advances and its events are deferred.
 */
final class SimulatedVm {

	private static final long TICK_NANOS = 100_000_000L;

	private static final long MAX_STORE_DELAY_NANOS = 400_000_000L;

	private final String vmId;

	private final LimitSimulation fleet;

	private final double clockRate;

	private final long clockOffsetNanos;

	private final Map<String, Team> teams = new HashMap<>();

	private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

	private long incarnation;

	private long pausedUntilNanos;

	private @Nullable Daemon daemon;

	SimulatedVm(String vmId, LimitSimulation fleet, double clockRate, long clockOffsetNanos) {
		this.vmId = vmId;
		this.fleet = fleet;
		this.clockRate = clockRate;
		this.clockOffsetNanos = clockOffsetNanos;
	}

	String vmId() {
		return this.vmId;
	}

	private long clockNanos() {
		return this.clockOffsetNanos + (long) (this.fleet.events().nowNanos() * this.clockRate);
	}

	boolean isUp() {
		return this.daemon != null;
	}

	boolean isPaused() {
		return this.fleet.events().nowNanos() < this.pausedUntilNanos;
	}

	void pause(long nanos) {
		this.pausedUntilNanos = Math.max(this.pausedUntilNanos, this.fleet.events().nowNanos() + nanos);
	}

	void start() {
		this.incarnation = this.fleet.random().nextLong();
		this.pendingRequests.clear();
		Daemon started = new Daemon(this.incarnation);
		this.daemon = started;
		long first = this.fleet.random().nextLong(TICK_NANOS);
		schedulePeriodically(started, first, TICK_NANOS, started::tick);
		schedulePeriodically(started, first, MembershipTiming.DEFAULT.shortestPeriodNanos(), started::sendHeartbeats);
	}

	private void schedulePeriodically(Daemon owner, long firstNanos, long periodNanos, Runnable action) {
		this.fleet.events().after(firstNanos, () -> whenRunning(() -> {
			if (this.daemon == owner) {
				action.run();
				schedulePeriodically(owner, periodNanos, periodNanos, action);
			}
		}));
	}

	void crash() {
		this.daemon = null;
		this.pausedUntilNanos = 0;
	}

	void stop() {
		Daemon current = this.daemon;
		if (current != null && !isPaused()) {
			current.lending.setSlot(null, clockNanos());
			try {
				current.slots.release();
			}
			catch (StoreException ex) {
				// The lease expires instead.
			}
		}
		crash();
	}

	private void whenRunning(Runnable action) {
		if (isPaused()) {
			this.fleet.events().at(this.pausedUntilNanos, () -> whenRunning(action));
		}
		else {
			action.run();
		}
	}

	void deliver(String from, PeerMessage message) {
		whenRunning(() -> {
			Daemon current = this.daemon;
			if (current != null) {
				current.receive(from, message);
			}
		});
	}

	void setTeam(String id, @Nullable Team team) {
		if (team == null) {
			this.teams.remove(id);
		}
		else {
			this.teams.put(id, team);
		}
		whenRunning(() -> {
			if (this.daemon != null) {
				this.daemon.lending.limitsChanged(clockNanos());
			}
		});
	}

	void request(String teamId, long tokens, LimitSimulation.RequestListener listener) {
		whenRunning(() -> {
			if (this.daemon == null || this.teams.get(teamId) == null) {
				return;
			}
			PendingRequest request = new PendingRequest(teamId, tokens, listener,
					new ReserveWait(this.fleet.terms(), clockNanos()));
			attempt(this.daemon, request);
		});
	}

	private void attempt(Daemon current, PendingRequest request) {
		Team team = this.teams.get(request.teamId());
		if (current != this.daemon || team == null) {
			return;
		}
		long now = clockNanos();
		long responseNanos = request.reserveWait().responseNanos(now);
		ReserveOutcome outcome = current.lending.tryReserve(team, request.tokens(), responseNanos > 0, now);
		switch (outcome.kind()) {
			case RESERVED -> request.listener().reserved(current.incarnation);
			case ASKED -> {
				this.pendingRequests.put(outcome.requestId(), request);
				after(responseNanos, () -> retry(current, outcome.requestId()));
			}
			default -> {
				long pauseNanos = request.reserveWait().pauseNanos(outcome, now);
				if (pauseNanos > 0) {
					after(pauseNanos, () -> attempt(current, request));
				}
				else {
					request.listener().refused();
				}
			}
		}
	}

	// Runs an action after a time on the clock of this VM.
	private void after(long nanos, Runnable action) {
		this.fleet.events().after((long) (nanos / this.clockRate) + 1, () -> whenRunning(action));
	}

	private void retry(Daemon current, long requestId) {
		PendingRequest request = (current == this.daemon) ? this.pendingRequests.remove(requestId) : null;
		if (request != null) {
			current.lending.dropRequest(requestId);
			attempt(current, request);
		}
	}

	// Refunds nothing if the daemon that made the reservation has ended or is paused.
	boolean settle(long reservingIncarnation, String teamId, long unusedTokens) {
		Daemon current = this.daemon;
		if (current == null || current.incarnation != reservingIncarnation || isPaused()) {
			return false;
		}
		current.lending.refund(teamId, unusedTokens, clockNanos());
		return true;
	}

	private record PendingRequest(String teamId, long tokens, LimitSimulation.RequestListener listener,
			ReserveWait reserveWait) {

	}

	/**
	 * State of one incarnation of the daemon.
	 */
	private final class Daemon {

		private final long incarnation;

		private final MembershipTable membership;

		private final TokenLending lending;

		private final RateSlotClaimer slots;

		private @Nullable MembershipView view;

		Daemon(long incarnation) {
			LimitSimulation fleet = SimulatedVm.this.fleet;
			this.incarnation = incarnation;
			List<String> peers = fleet.vmIds().stream().filter((id) -> !id.equals(SimulatedVm.this.vmId)).toList();
			this.membership = new MembershipTable(new Member(SimulatedVm.this.vmId, incarnation, "dc", false), peers,
					MembershipTiming.DEFAULT);
			Function<String, @Nullable Team> limits = SimulatedVm.this.teams::get;
			this.lending = new TokenLending(SimulatedVm.this.vmId, incarnation, fleet.slotCount(), fleet.terms(),
					fleet.random().nextLong(), limits, new MembershipReachability(),
					(to, message) -> fleet.send(SimulatedVm.this.vmId, to, message));
			this.lending.onResponse((requestId) -> fleet.events().after(0, () -> retry(this, requestId)));
			this.slots = new RateSlotClaimer(fleet.store(), SimulatedVm.this.vmId, incarnation, fleet.slotCount(),
					fleet.terms(), fleet.random(), clockNanos());
		}

		private boolean isReachable(String peer, long nowNanos) {
			PeerStatus status = this.membership.peer(peer).orElse(null);
			return status != null && status.state() == MemberState.LIVE && status.echoed()
					&& nowNanos - status.lastEchoNanos() <= this.membership.liveNanos();
		}

		void tick() {
			long now = clockNanos();
			this.membership.advance(now);
			if (now - this.slots.nextStepNanos() >= 0) {
				// The store responds after a delay, so the time passed to the step is
				// earlier than its effect.
				long storeDelayNanos = SimulatedVm.this.fleet.random().nextLong(MAX_STORE_DELAY_NANOS);
				SimulatedVm.this.fleet.events()
					.after(storeDelayNanos, () -> whenRunning(() -> stepRateSlotClaimer(now)));
			}
			this.lending.tick(now);
			refreshView();
		}

		private void stepRateSlotClaimer(long startedNanos) {
			if (SimulatedVm.this.daemon != this || startedNanos - this.slots.nextStepNanos() < 0) {
				return;
			}
			try {
				this.slots.step(startedNanos);
			}
			catch (StoreException ex) {
				// The next step retries.
			}
			this.lending.setSlot(this.slots.lease().orElse(null), clockNanos());
		}

		void sendHeartbeats() {
			for (String peer : SimulatedVm.this.fleet.vmIds()) {
				if (!peer.equals(SimulatedVm.this.vmId)) {
					long now = clockNanos();
					PeerStatus status = this.membership.peer(peer).orElse(null);
					LoanOffer loan = (status != null && status.state() == MemberState.LIVE)
							? this.lending.offer(peer, status.member().incarnation(), now) : null;
					SimulatedVm.this.fleet.send(SimulatedVm.this.vmId, peer,
							this.membership.heartbeatFor(peer, 0, loan, now));
				}
			}
		}

		void receive(String from, PeerMessage message) {
			long now = clockNanos();
			if (message instanceof Heartbeat heartbeat) {
				if (this.membership.recordHeartbeat(from, heartbeat, now) && heartbeat.loan() != null
						&& heartbeat.echoIncarnation() == this.incarnation) {
					this.lending.accept(from, heartbeat.incarnation(), Objects.requireNonNull(heartbeat.loan()),
							heartbeat.echoNanos(), now);
				}
				refreshView();
			}
			else if (message instanceof TokenRequest request) {
				this.lending.onRequest(from, request, now);
			}
			else if (message instanceof TokenGrant grant) {
				this.lending.onGrant(from, grant, now);
			}
			else if (message instanceof TokenReturn returned) {
				this.lending.onReturn(from, returned, now);
			}
		}

		private void refreshView() {
			MembershipView next = this.membership.view();
			if (!next.equals(this.view)) {
				this.view = next;
				this.lending.setOwners(ShardSet.owners(next), clockNanos());
			}
		}

		/**
		 * Derives the reachability of peers from the membership table.
		 */
		private final class MembershipReachability implements TokenLending.PeerReachability {

			@Override
			public boolean isReachable(String peer, long nowNanos) {
				return Daemon.this.isReachable(peer, nowNanos);
			}

			@Override
			public long incarnation(String peer) {
				PeerStatus status = Daemon.this.membership.peer(peer).orElse(null);
				return (status != null) ? status.member().incarnation() : 0;
			}

			@Override
			public long sentNanos(String peer) {
				PeerStatus status = Daemon.this.membership.peer(peer).orElse(null);
				return (status != null) ? status.peerSentNanos() : 0;
			}

		}

	}

}
