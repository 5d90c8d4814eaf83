package org.skylarkstack.daemon;

import java.security.SecureRandom;
import java.util.SplittableRandom;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.limit.LendingTeamLimiter;
import org.skylarkstack.limit.LendingTerms;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.membership.HttpPlatformVmList;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.membership.MembershipTiming;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerCodec;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.peer.TransportLimits;
import org.skylarkstack.schedule.PeriodicLoadPoller;
import org.skylarkstack.schedule.PlacementPolicy;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.schedule.SoftOwnerPlacer;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.PeerSettings;
import org.skylarkstack.store.TableStore;

/**
 * Provides the services that coordinate the daemons of the fleet: peer transport,
 * membership, rate limits and placement.
 */
@Module
final class FleetModule {

	private FleetModule() {
	}

	private static long heartbeatNanos(DaemonSettings settings) {
		return MembershipTiming.DEFAULT.periodNanos(settings.peers().size() + 1);
	}

	@Provides
	@Singleton
	static PluginRegistry plugins() {
		return PluginRegistry.load();
	}

	@Provides
	@Singleton
	static TcpPeerTransport tcpTransport(DaemonSettings settings, PluginRegistry plugins, TimeSource time) {
		return new TcpPeerTransport(settings.vmId(), settings.peerAddress(), settings.peers(), settings.sharedSecret(),
				new PeerCodec(plugins), TransportLimits.forPeriod(heartbeatNanos(settings)), time,
				new SplittableRandom());
	}

	@Provides
	@Singleton
	static PeerTransport transport(TcpPeerTransport transport) {
		return transport;
	}

	@Provides
	@Singleton
	static MembershipService membershipService(DaemonSettings settings, PeerTransport transport,
			ConfigurationHolder configuration, TimeSource time) {
		Member self = new Member(settings.vmId(), new SecureRandom().nextLong(), settings.dataCentre(), false);
		return new MembershipService(self, settings.peers().stream().map(PeerSettings::vmId).toList(),
				MembershipTiming.DEFAULT, transport, new HttpPlatformVmList(settings.platform()),
				() -> configuration.current().appliedNumber(), time);
	}

	@Provides
	@Singleton
	static Membership membership(MembershipService service) {
		return service;
	}

	@Provides
	@Singleton
	static LendingTeamLimiter lendingLimiter(DaemonSettings settings, MembershipService membership,
			PeerTransport transport, TableStore store, ConfigurationHolder configuration, TimeSource time) {
		LendingTerms terms = LendingTerms.forPeriod(heartbeatNanos(settings));
		return new LendingTeamLimiter(settings.vmId(), settings.slotCount(), terms, membership, transport, store,
				configuration, time, new SecureRandom());
	}

	@Provides
	@Singleton
	static TeamLimiter limiter(LendingTeamLimiter limiter) {
		return limiter;
	}

	@Provides
	@Singleton
	static SoftOwnerPlacer softOwnerPlacer(DaemonSettings settings, Membership membership, PeerTransport peers,
			ConfigurationHolder configuration, PluginRegistry plugins, TimeSource time) {
		return new SoftOwnerPlacer(settings.vmId(), membership, peers, configuration,
				() -> plugins.create(PlacementPolicy.class, settings.placementPolicy()),
				new SplittableRandom(membership.incarnation()), time);
	}

	@Provides
	@Singleton
	static Placer placer(SoftOwnerPlacer placer) {
		return placer;
	}

	@Provides
	@Singleton
	static PeriodicLoadPoller periodicLoadPoller(ConfigurationHolder configuration, EngineClient engines,
			SoftOwnerPlacer placer, TimeSource time) {
		return new PeriodicLoadPoller(configuration, engines, placer, time);
	}

}
