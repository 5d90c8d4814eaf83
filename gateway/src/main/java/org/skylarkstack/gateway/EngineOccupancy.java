package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.List;

import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.RequestMemory;

/**
 * Memory that the requests of all daemons occupy at an engine, according to this daemon's
 * own requests and the reports of its peers.
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
	static List<RequestMemory> requestMemory(BackendState engine, PeerUsage peers, long nowNanos) {
		List<RequestMemory> requests = new ArrayList<>(engine.requestMemory());
		requests.addAll(peers.memoryOfPeers(engine.node().id(), nowNanos));
		return requests;
	}

	/**
	 * Returns the tokens that the requests at an engine occupy.
	 * @param engine the prefill or decode engine
	 * @param peers the engine usage that peers report
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the sum over the requests of this daemon and of its peers
	 */
	static long tokens(BackendState engine, PeerUsage peers, long nowNanos) {
		return requestMemory(engine, peers, nowNanos).stream().mapToLong(RequestMemory::tokens).sum();
	}

}
