package org.skylarkstack.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BackendChooser} and {@link ServicePolicy}.
 */
class BackendChooserTests {

	private static final ServicePolicy SERVICE = new ServicePolicy("s", 490, null);

	private static final int DAEMONS = 71;

	private final BackendChooser chooser = new BackendChooser("a", () -> DAEMONS, new SplittableRandom(1));

	private final BackendState first = server("first");

	private final BackendState second = server("second");

	private static BackendState server(String id) {
		return BackendStates
			.of(new BackendNode(id, 1, 1, "s", new InetSocketAddress("127.0.0.1", 1), "a", 6, false, BackendRole.NONE));
	}

	/**
	 * Guards against more connections from all daemons together than a server accepts,
	 * which it resets. This happens when servers are overloaded, so that requests stay
	 * open.
	 */
	@Test
	void allDaemonsTogetherStayWithinTheConnectionsOfAServer() {
		int sent = 0;
		for (BackendState chosen = choose(); chosen != null; chosen = choose()) {
			chosen.recordRequestOpened(0);
			sent++;
		}
		assertThat(sent * DAEMONS).isAtMost(2 * SERVICE.maxConnections());
		assertThat(sent).isAtLeast(2);
	}

	/**
	 * Guards against a daemon that may not use a server at all, because the server
	 * accepts fewer connections than there are daemons.
	 */
	@Test
	void aDaemonMayAlwaysTryAServer() {
		assertThat(new ServicePolicy("s", 10, null).maxConnectionsPerDaemon(DAEMONS)).isAtLeast(1);
	}

	/**
	 * Guards against a request that is refused because one server has no free connection,
	 * while another has.
	 */
	@Test
	void aServerWithFreeConnectionsIsChosen() {
		for (int request = 0; request < SERVICE.maxConnectionsPerDaemon(DAEMONS); request++) {
			this.first.recordRequestOpened(0);
		}
		for (int request = 0; request < 5; request++) {
			assertThat(choose()).isEqualTo(this.second);
		}
	}

	private @Nullable BackendState choose() {
		return this.chooser.choose(List.of(this.first, this.second), SERVICE, 0);
	}

}
