package org.skylarkstack.schedule;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.misc.TimeSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link LoadPoller}.
 */
class LoadPollerTests {

	/**
	 * Guards against polls of engines of models that only other VMs schedule, and against
	 * a second poll of an engine while the first is still in progress.
	 */
	@Test
	void pollsOnlyNeededModelsOnceAtATime() {
		ConfigurationHolder configuration = new ConfigurationHolder();
		configuration.update((old) -> old.apply(new Ticket(1, "test",
				List.of(TicketChange.set(Engines.prefill("p1")), TicketChange.set(Engines.decode("d1", 1, 1))))));
		EngineClient engines = (EngineClient) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { EngineClient.class }, (proxy, method, arguments) -> new EngineLoad(0, 0, 0, 0));
		List<Runnable> polls = new ArrayList<>();
		List<String> reports = new ArrayList<>();
		List<String> needed = new ArrayList<>();
		LoadPoller poller = new LoadPoller(configuration, engines, needed::contains,
				(model, engineId, load, readNanos) -> reports.add(engineId), polls::add, TimeSource.system());
		poller.step();
		assertThat(polls).isEmpty();
		needed.add("m");
		poller.step();
		poller.step();
		assertThat(polls).hasSize(2);
		polls.forEach(Runnable::run);
		assertThat(reports).containsExactly("p1", "d1");
		poller.step();
		assertThat(polls).hasSize(4);
	}

}
