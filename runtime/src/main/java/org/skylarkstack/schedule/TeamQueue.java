package org.skylarkstack.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queued requests of one team, and the team's state in fair queueing.
 */
final class TeamQueue {

	final String teamId;

	final Deque<OfferedRequest> interactive = new ArrayDeque<>();

	final Deque<OfferedRequest> batch = new ArrayDeque<>();

	double weight;

	/** Virtual time at which the granted work of the team ends. */
	double finishTag;

	int grantCount;

	TeamQueue(String teamId) {
		this.teamId = teamId;
	}

	Deque<OfferedRequest> queue(RequestClass requestClass) {
		return (requestClass == RequestClass.INTERACTIVE) ? this.interactive : this.batch;
	}

	int size() {
		return this.interactive.size() + this.batch.size();
	}

	boolean isIdle() {
		return size() == 0 && this.grantCount == 0;
	}

}
