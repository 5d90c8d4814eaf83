package org.skylarkstack.daemon;

import java.util.SplittableRandom;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.AcknowledgementTable;
import org.skylarkstack.configuration.ConfigurationDuty;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.SnapshotKeeper;
import org.skylarkstack.configuration.StartBarrier;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.configuration.TicketSync;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipTiming;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.PeerSettings;
import org.skylarkstack.store.DynamoTableStore;
import org.skylarkstack.store.ObjectStore;
import org.skylarkstack.store.S3ObjectStore;
import org.skylarkstack.store.TableStore;

/**
 * Provides the clients of the platform's stores, and the configuration that is kept in
 * these stores.
 */
@Module
final class PlatformModule {

	private PlatformModule() {
	}

	@Provides
	@Singleton
	static TimeSource time() {
		return TimeSource.system();
	}

	@Provides
	@Singleton
	static TableStore tableStore(DaemonSettings settings) {
		return new DynamoTableStore(settings.platform());
	}

	@Provides
	@Singleton
	static ObjectStore objectStore(DaemonSettings settings) {
		return new S3ObjectStore(settings.platform());
	}

	@Provides
	@Singleton
	static ConfigurationHolder configuration() {
		return new ConfigurationHolder();
	}

	@Provides
	@Singleton
	static TicketLog tickets(TableStore store, ConfigurationHolder configuration) {
		return new TicketLog(store, configuration);
	}

	@Provides
	@Singleton
	static KeyFreshness freshness(ConfigurationHolder configuration) {
		return new KeyFreshness(configuration);
	}

	@Provides
	@Singleton
	static AcknowledgementTable acknowledgements(DaemonSettings settings) {
		AcknowledgementTable acknowledgements = new AcknowledgementTable();
		acknowledgements.addVms(settings.peers().stream().map(PeerSettings::vmId).toList());
		return acknowledgements;
	}

	@Provides
	@Singleton
	static ConfigurationDuty configurationDuty(DaemonSettings settings, TicketLog tickets, ObjectStore objects,
			ConfigurationHolder configuration, KeyFreshness freshness, AcknowledgementTable acknowledgements,
			Membership membership, PeerTransport transport, TimeSource time) {
		TicketSync sync = new TicketSync(configuration, freshness, membership, transport, new SplittableRandom());
		int peers = settings.peers().size();
		StartBarrier startBarrier = new StartBarrier(peers, MembershipTiming.DEFAULT.periodNanos(peers + 1),
				time.nanos());
		return new ConfigurationDuty(settings.vmId(), tickets, new SnapshotKeeper(objects, configuration, membership),
				freshness, configuration, acknowledgements, sync, startBarrier, time, new SplittableRandom());
	}

}
