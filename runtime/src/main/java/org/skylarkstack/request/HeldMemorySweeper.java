package org.skylarkstack.request;

import java.util.List;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HeldRequest;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.Membership;

/**
 * Frees the engine memory that dead daemons still hold. A request is cancelled only if
 * membership regards its owner as dead and the engine has had no contact with the owner
 * for 10 s: a VM that is merely unreachable from this VM still calls its engines.
 */
public final class HeldMemorySweeper {

	private static final long HOLD_IDLE_TIMEOUT_MILLIS = 10_000;

	private static final int HEX_RADIX = 16;

	private final EngineClient engines;

	private final ConfigurationHolder configuration;

	private final Membership membership;

	private final DeadIncarnations dead;

	private final EngineCanceller canceller;

	/**
	 * Creates a sweeper.
	 * @param engines calls engines
	 * @param configuration lists the engines
	 * @param membership determines which engines this VM sweeps
	 * @param dead determines which owners are dead
	 * @param canceller cancels requests on engines in the background
	 */
	public HeldMemorySweeper(EngineClient engines, ConfigurationHolder configuration, Membership membership,
			DeadIncarnations dead, EngineCanceller canceller) {
		this.engines = engines;
		this.configuration = configuration;
		this.membership = membership;
		this.dead = dead;
		this.canceller = canceller;
	}

	/** Checks the engines whose soft owner is this VM. To be called periodically. */
	public void sweep() {
		String self = this.membership.view().self();
		List<EngineNode> owned = this.configuration.current()
			.objectsOfType(EngineNode.class)
			.filter((engine) -> this.membership.view().softOwner("engine/" + engine.id()).equals(self))
			.toList();
		owned.forEach(this::sweep);
	}

	private void sweep(EngineNode engine) {
		try {
			for (HeldRequest held : this.engines.held(engine)) {
				if (isAbandoned(held, this.dead)) {
					this.canceller.cancel(engine.id(), held.requestId());
				}
			}
		}
		catch (RouterException ex) {
			// The engine did not respond; the next periodic call retries.
		}
	}

	static boolean isAbandoned(HeldRequest held, DeadIncarnations dead) {
		int dot = held.owner().lastIndexOf('.');
		if (dot < 0 || held.idleMillis() < HOLD_IDLE_TIMEOUT_MILLIS) {
			return false;
		}
		try {
			long incarnation = Long.parseUnsignedLong(held.owner().substring(dot + 1), HEX_RADIX);
			return dead.isDead(held.owner().substring(0, dot), incarnation);
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

}
