package org.skylarkstack.gateway;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BackendDirectory} and {@link BackendState}.
 */
class BackendDirectoryTests {

	private static final long MILLI = 1_000_000;

	private final BackendDirectory directory = new BackendDirectory(BackendStates.shares());

	private static BackendNode node(String id, long startedMillis, boolean draining) {
		return node(id, startedMillis, 1, draining);
	}

	private static BackendNode node(String id, long startedMillis, long sequenceNumber, boolean draining) {
		return new BackendNode(id, startedMillis, sequenceNumber, "service", new InetSocketAddress("127.0.0.1", 1), "a",
				8, draining, BackendRole.NONE);
	}

	private boolean draining(String id) {
		return Objects.requireNonNull(this.directory.find(id)).node().draining();
	}

	/**
	 * Guards against new requests to a server that has announced that it is about to
	 * stop.
	 */
	@Test
	void drainingServersGetNoRequests() {
		this.directory.register(node("x", 1, false));
		assertThat(this.directory.candidates("service", BackendRole.NONE, (node) -> false)).hasSize(1);
		this.directory.register(node("x", 1, true));
		assertThat(this.directory.candidates("service", BackendRole.NONE, (node) -> false)).isEmpty();
	}

	/**
	 * Guards against a restarted server that is avoided because of failures before its
	 * restart.
	 */
	@Test
	void aRestartedServerStartsWithoutFailures() {
		this.directory.register(node("x", 1, false));
		BackendState former = this.directory.candidates("service", BackendRole.NONE, (node) -> false).get(0);
		former.recordFailure(0);
		this.directory.register(node("x", 2, false));
		assertThat(this.directory.candidates("service", BackendRole.NONE, (node) -> false).get(0).isAvoided(0))
			.isFalse();
	}

	/**
	 * Guards against a late announcement from before a restart that replaces the current
	 * incarnation of a server.
	 */
	@Test
	void anAnnouncementOfAnEarlierIncarnationIsIgnored() {
		this.directory.register(node("x", 2, false));
		this.directory.register(node("x", 1, true));
		assertThat(this.directory.candidates("service", BackendRole.NONE, (node) -> false)).hasSize(1);
	}

	/** Guards against taking back that a server is leaving. */
	@Test
	void aLeavingServerKeepsLeavingUntilItStartsAgain() {
		this.directory.register(node("x", 1, 5, true));
		assertThat(this.directory.register(node("x", 1, 4, false))).isFalse();
		this.directory.register(node("x", 1, 6, false));
		assertThat(draining("x")).isTrue();
		this.directory.remove("x");
		this.directory.register(node("x", 1, 7, false));
		assertThat(draining("x")).isTrue();
		this.directory.register(node("x", 2, 1, false));
		assertThat(draining("x")).isFalse();
	}

	/** Guards against an older announcement that hides that a server is leaving. */
	@Test
	void anEarlierAnnouncementOnlyCountsIfTheServerIsLeaving() {
		this.directory.register(node("x", 1, 5, false));
		assertThat(this.directory.register(node("x", 1, 4, false))).isFalse();
		assertThat(Objects.requireNonNull(this.directory.find("x")).node().sequenceNumber()).isEqualTo(5);
		assertThat(this.directory.register(node("x", 1, 4, true))).isTrue();
		assertThat(draining("x")).isTrue();
	}

	/**
	 * Guards against requests to a removed server whose old entry comes back, and against
	 * a server that stays removed although it announces itself again.
	 */
	@Test
	void aRemovedServerIsBackOnlyWithALaterAnnouncement() {
		this.directory.register(node("x", 1, 5, false));
		this.directory.remove("x");
		assertThat(this.directory.register(node("x", 1, 5, false))).isFalse();
		assertThat(this.directory.find("x")).isNull();
		assertThat(this.directory.register(node("x", 1, 6, false))).isTrue();
		this.directory.remove("x");
		this.directory.registerConfirmed(node("x", 1, 6, false));
		assertThat(this.directory.find("x")).isNotNull();
	}

	/** Guards against removed servers that fill the memory. */
	@Test
	void onlyTheLastRemovedServersAreRemembered() {
		for (int server = 0; server <= AnnouncementOrder.MAX_REMOVED_SERVERS; server++) {
			this.directory.register(node("x" + server, 1, 5, false));
			this.directory.remove("x" + server);
		}
		assertThat(this.directory.register(node("x0", 1, 5, false))).isTrue();
		assertThat(this.directory.register(node("x1", 1, 5, false))).isFalse();
	}

	/**
	 * Guards against a failed server that never gets a trial request, or that gets many
	 * requests simultaneously when its avoidance time ends.
	 */
	@Test
	void aFailedServerIsTriedAgainByOneRequest() {
		BackendState state = BackendStates.of(node("x", 1, false));
		state.recordFailure(0);
		assertThat(state.isAvoided(100 * MILLI)).isTrue();
		assertThat(state.isAvoided(500 * MILLI)).isFalse();
		state.recordRequestOpened(500 * MILLI);
		assertThat(state.isAvoided(501 * MILLI)).isTrue();
		state.recordRequestClosed();
		state.recordSuccess();
		assertThat(state.isAvoided(502 * MILLI)).isFalse();
	}

	/**
	 * Guards against an avoidance time that doubles without limit when a server fails
	 * many times in a row.
	 */
	@Test
	void avoidanceIsBounded() {
		BackendState state = BackendStates.of(node("x", 1, false));
		for (int failure = 0; failure < 50; failure++) {
			state.recordFailure(0);
		}
		assertThat(state.isAvoided(7_000 * MILLI)).isFalse();
	}

}
