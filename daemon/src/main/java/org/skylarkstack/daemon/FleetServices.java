package org.skylarkstack.daemon;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.ConfigurationDuty;
import org.skylarkstack.limit.LendingTeamLimiter;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.schedule.PeriodicLoadPoller;
import org.skylarkstack.schedule.SoftOwnerPlacer;

/**
 * Services that coordinate this daemon with its peers: transport, membership,
 * configuration, rate limits and placement. They are started and stopped in the order of
 * their dependencies.
 */
@Singleton
final class FleetServices implements AutoCloseable {

	private final TcpPeerTransport transport;

	private final MembershipService membership;

	private final ConfigurationDuty configuration;

	private final LendingTeamLimiter limiter;

	private final SoftOwnerPlacer placer;

	private final PeriodicLoadPoller periodicLoadPoller;

	@Inject
	FleetServices(TcpPeerTransport transport, MembershipService membership, ConfigurationDuty configuration,
			LendingTeamLimiter limiter, SoftOwnerPlacer placer, PeriodicLoadPoller periodicLoadPoller) {
		this.transport = transport;
		this.membership = membership;
		this.configuration = configuration;
		this.limiter = limiter;
		this.placer = placer;
		this.periodicLoadPoller = periodicLoadPoller;
	}

	void start() {
		this.membership.onAppliedNumber(
				(vmId, incarnation, number, nowNanos) -> this.configuration.report(vmId, number, nowNanos));
		this.transport.start();
		this.membership.start();
		this.configuration.start(this.transport);
		this.limiter.start();
		this.placer.start();
		this.periodicLoadPoller.start();
	}

	TcpPeerTransport transport() {
		return this.transport;
	}

	MembershipService membership() {
		return this.membership;
	}

	long appliedNumber() {
		return this.configuration.appliedNumber();
	}

	/** Announces to the peers that this VM accepts no new shared work. */
	void leave() {
		this.membership.leave();
	}

	/** Stops without notifying the peers, as if the process had crashed. */
	void kill() {
		this.limiter.abandon();
		this.periodicLoadPoller.close();
		this.placer.close();
		this.configuration.close();
		this.membership.close();
	}

	@Override
	public void close() {
		this.periodicLoadPoller.close();
		this.placer.close();
		this.limiter.close();
		this.configuration.close();
		this.membership.close();
		this.transport.close();
	}

}
