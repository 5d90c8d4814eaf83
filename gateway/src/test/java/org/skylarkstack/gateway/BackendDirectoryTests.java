package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BackendDirectory} and {@link BackendState}.
 */
class BackendDirectoryTests {

	private static final long MILLI = 1_000_000;

	private final BackendDirectory directory = new BackendDirectory();

	private static BackendNode node(String id, long startedMillis, boolean draining) {
		return new BackendNode(id, startedMillis, "service", new InetSocketAddress("127.0.0.1", 1), "a", 8, draining,
				BackendRole.NONE);
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

	/**
	 * Guards against a failed server that never gets a trial request, or that gets many
	 * requests simultaneously when its avoidance time ends.
	 */
	@Test
	void aFailedServerIsTriedAgainByOneRequest() {
		BackendState state = new BackendState(node("x", 1, false));
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
		BackendState state = new BackendState(node("x", 1, false));
		for (int failure = 0; failure < 50; failure++) {
			state.recordFailure(0);
		}
		assertThat(state.isAvoided(7_000 * MILLI)).isFalse();
	}

}
