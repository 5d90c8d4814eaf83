package org.skylarkstack.request;

import java.util.Objects;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.kernel.Cancellation;

/**
 * Request path over fake engines for tests of the packages around it.
 */
public final class RequestPathFixture {

	private final RequestFixture fixture = new RequestFixture();

	/**
	 * Returns the configuration with one team, its key {@code key} and six engines.
	 * @return the configuration in force
	 */
	public ConfigurationHolder configuration() {
		return this.fixture.configuration;
	}

	/**
	 * Merges a ticket.
	 * @param ticket the ticket
	 */
	public void apply(Ticket ticket) {
		this.fixture.configuration.update((current) -> current.apply(ticket));
	}

	/** Withdraws the key of the team. */
	public void withdrawKey() {
		this.fixture.withdrawKey();
	}

	/**
	 * Returns the pipeline.
	 * @return the pipeline
	 */
	public RequestPipeline pipeline() {
		return this.fixture.pipeline;
	}

	/**
	 * Returns the open requests.
	 * @return the registry
	 */
	public OpenRequests openRequests() {
		return this.fixture.openRequests;
	}

	/**
	 * Returns claims over a table in memory.
	 * @return the claims
	 */
	public IdempotencyClaims claims() {
		return new IdempotencyClaims(this.fixture.store, new ClaimRepairs(this.fixture.store), this.fixture.time);
	}

	/**
	 * Returns a source of request ids.
	 * @return the ids
	 */
	public RequestIds ids() {
		return new RequestIds("vm-0", 2);
	}

	/**
	 * Runs an action in the next decode.
	 * @param afterTokens the number of tokens before it
	 * @param action the action
	 */
	public void onDecode(int afterTokens, Action action) {
		this.fixture.engines.decodeFaults.add(new FakeEngineClient.DecodeFault(afterTokens, () -> {
			try {
				action.run();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}));
	}

	/**
	 * Returns the cancellation of the last decode.
	 * @return the cancellation
	 */
	public Cancellation lastCancellation() {
		return Objects.requireNonNull(this.fixture.engines.lastCancellation);
	}

	/**
	 * Returns how many decodes were started.
	 * @return the count
	 */
	public long decodes() {
		return this.fixture.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("decode")).count();
	}

	/** Fails if anything is held. */
	public void assertAllReleased() {
		this.fixture.assertAllReleased();
		this.fixture.canceller.close();
	}

	/**
	 * Action that may wait.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Runs the action.
		 * @throws InterruptedException if the thread is interrupted
		 */
		void run() throws InterruptedException;

	}

}
