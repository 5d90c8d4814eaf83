package org.skylarkstack.schedule;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Predicate;

import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the load of the engines of the models that this VM schedules. Each engine has at
 * most one poll in progress, and the executor limits the number of concurrent polls.
 */
public final class LoadPoller {

	private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

	private final ConfigurationHolder configuration;

	private final EngineClient engines;

	private final Predicate<String> needed;

	private final LoadListener listener;

	private final Executor executor;

	private final TimeSource time;

	private final Set<String> inProgress = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a poller.
	 * @param configuration provides the engines of each model
	 * @param engines requests the load reports from the engines
	 * @param needed returns whether this VM needs the load reports of a model
	 * @param listener receives the load reports
	 * @param executor runs the polls; it limits their number and may reject some
	 * @param time the time source
	 */
	public LoadPoller(ConfigurationHolder configuration, EngineClient engines, Predicate<String> needed,
			LoadListener listener, Executor executor, TimeSource time) {
		this.configuration = configuration;
		this.engines = engines;
		this.needed = needed;
		this.listener = listener;
		this.executor = executor;
		this.time = time;
	}

	/**
	 * Starts a poll of each engine whose load is needed and that has no poll in progress.
	 * Called once in each poll period.
	 */
	public void step() {
		Configuration current = this.configuration.current();
		for (String model : current.models()) {
			if (this.needed.test(model)) {
				current.engines(model).forEach(this::start);
			}
		}
	}

	private void start(EngineNode engine) {
		if (!this.inProgress.add(engine.id())) {
			return;
		}
		try {
			this.executor.execute(() -> poll(engine));
		}
		catch (RejectedExecutionException ex) {
			this.inProgress.remove(engine.id());
		}
	}

	private void poll(EngineNode engine) {
		long readNanos = this.time.nanos();
		try {
			EngineLoad load = this.engines.load(engine);
			this.listener.applyLoadReport(engine.model(), engine.id(), load, readNanos);
		}
		catch (RouterException ex) {
			LOG.atDebug()
				.addKeyValue("event", "load_poll_failed")
				.addKeyValue("engine", engine.id())
				.addKeyValue("reason", ex.getMessage())
				.log();
		}
		finally {
			this.inProgress.remove(engine.id());
		}
	}

}
