package org.skylarkstack.request;

import java.util.Objects;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.kernel.Cancellation;

/**
 * Request path with fake engines, for tests of other packages.
 */
public final class RequestPathFixture {

	private final RequestFixture fixture = new RequestFixture();

	/**
	 * Returns the configuration, with one team, its key {@code key} and six engines.
	 * @return the current configuration
	 */
	public ConfigurationHolder configuration() {
		return this.fixture.configuration;
	}

	/**
	 * Applies a ticket to the configuration.
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
	 * Returns claims on an in-memory table.
	 * @return the claims
	 */
	public IdempotencyClaims claims() {
		return new IdempotencyClaims(this.fixture.store, new ClaimWriteRetryQueue(this.fixture.store),
				this.fixture.time);
	}

	/**
	 * Returns a generator of request ids.
	 * @return the generator
	 */
	public RequestIds ids() {
		return new RequestIds("vm-0", 2);
	}

	/**
	 * Runs an action during the next decode.
	 * @param afterEvents the number of events that are sent before the action runs
	 * @param action the action
	 */
	public void onDecode(int afterEvents, Action action) {
		this.fixture.engines.decodeFaults.add(new FakeEngineClient.DecodeFault(afterEvents, () -> {
			try {
				action.run();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}));
	}

	/**
	 * Sets the text of the events that engines send.
	 * @param tokens the number of events
	 * @param padding the text that follows the name of each token
	 */
	public void setOutput(int tokens, String padding) {
		this.fixture.engines.tokens = tokens;
		this.fixture.engines.padding = padding;
	}

	/**
	 * Returns the cancellation of the last decode.
	 * @return the cancellation
	 */
	public Cancellation lastCancellation() {
		return Objects.requireNonNull(this.fixture.engines.lastCancellation);
	}

	/**
	 * Returns the number of decodes that were started.
	 * @return the count
	 */
	public long decodes() {
		return this.fixture.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("decode")).count();
	}

	/** Fails if engine memory, a placement or a reservation is still held. */
	public void assertAllReleased() {
		this.fixture.assertAllReleased();
		this.fixture.canceller.close();
	}

	/**
	 * Action that may block.
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
