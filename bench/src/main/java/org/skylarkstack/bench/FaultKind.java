package org.skylarkstack.bench;

import java.util.Locale;

import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.standin.EngineFaults;
import org.skylarkstack.standin.PlainServiceFault;

/**
 * Kind of fault in a schedule.
 */
public enum FaultKind {

	/** An engine crashes and restarts after a second. */
	CRASH_ENGINE,

	/**
	 * The open connections of an engine stop responding permanently; new connections
	 * work.
	 */
	FREEZE_ENGINE,

	/** The next prefill of an engine never ends. */
	STALL_PREFILL,

	/** The next transfer to an engine never ends. */
	STALL_TRANSFER,

	/** The next stream of an engine stalls. */
	STALL_STREAM,

	/** The next stream of an engine ends without its end marker. */
	TRUNCATE_STREAM,

	/** The next response of an engine belongs to another request. */
	CROSS_ANSWER,

	/** The next response of an engine is delayed. */
	LATE_ANSWER,

	/**
	 * Each server of a plain service drops its next connection after the request took
	 * effect.
	 */
	DROP_ENTRY,

	/** The daemon of a VM is killed. */
	KILL_DAEMON,

	/** The daemon of a VM stops gracefully. */
	STOP_DAEMON,

	/** The daemon of a VM starts. */
	START_DAEMON,

	/** The platform's store becomes unavailable. */
	STORE_DOWN,

	/** The platform's store becomes available again. */
	STORE_UP;

	private static final int RESTART_MILLIS = 1_000;

	void apply(LocalFleet fleet, String target) {
		switch (this) {
			case CRASH_ENGINE -> fleet.engine(target).crash(RESTART_MILLIS);
			case FREEZE_ENGINE -> fleet.engine(target).freezeConnections();
			case STALL_PREFILL -> injectOnce(fleet, target, EngineFaults.Counted.STALLED_PREFILL);
			case STALL_TRANSFER -> injectOnce(fleet, target, EngineFaults.Counted.STALLED_TRANSFER);
			case STALL_STREAM -> injectOnce(fleet, target, EngineFaults.Counted.STALLED_STREAM);
			case TRUNCATE_STREAM -> injectOnce(fleet, target, EngineFaults.Counted.TRUNCATED_STREAM);
			case CROSS_ANSWER -> injectOnce(fleet, target, EngineFaults.Counted.CROSSED);
			case LATE_ANSWER -> injectOnce(fleet, target, EngineFaults.Counted.LATE);
			case DROP_ENTRY ->
				fleet.servers(target).forEach((service) -> service.inject(PlainServiceFault.DROP_AFTER_EFFECT, 1));
			case KILL_DAEMON -> fleet.killDaemon(target);
			case STOP_DAEMON -> fleet.stopDaemon(target);
			case START_DAEMON -> fleet.startDaemon(target);
			case STORE_DOWN -> fleet.platform().faults().down(true);
			case STORE_UP -> fleet.platform().faults().down(false);
		}
	}

	private static void injectOnce(LocalFleet fleet, String engine, EngineFaults.Counted fault) {
		fleet.engine(engine).faults().inject(fault, 1);
	}

	static FaultKind parse(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

}
