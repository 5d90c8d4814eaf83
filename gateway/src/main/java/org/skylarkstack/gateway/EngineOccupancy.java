package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.List;

import org.skylarkstack.peers.EngineRun;
import org.skylarkstack.peers.PeerUsage;

/**
 * Memory that the requests of all daemons occupy at an engine, as far as this daemon
 * knows.
 */
final class EngineOccupancy {

	private EngineOccupancy() {
	}

	/**
	 * Returns the memory of each request at an engine.
	 * @param engine the prefill or decode engine
	 * @param peers the engine usage that peers report
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return a new list with one element per request
	 */
	static List<EngineRun> runs(BackendState engine, PeerUsage peers, long nowNanos) {
		List<EngineRun> runs = new ArrayList<>(engine.runs());
		runs.addAll(peers.runsOfPeers(engine.node().id(), nowNanos));
		return runs;
	}

	/**
	 * Returns the tokens that the requests at an engine occupy.
	 * @param engine the prefill or decode engine
	 * @param peers the engine usage that peers report
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the sum over the requests of this daemon and of its peers
	 */
	static long tokens(BackendState engine, PeerUsage peers, long nowNanos) {
		return runs(engine, peers, nowNanos).stream().mapToLong(EngineRun::tokens).sum();
	}

}
