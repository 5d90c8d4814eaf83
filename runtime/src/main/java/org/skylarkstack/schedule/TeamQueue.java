package org.skylarkstack.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Requests of one team that wait for engines, and the team's place in the fair order.
 */
final class TeamQueue {

	final String teamId;

	final Deque<OfferedRequest> interactive = new ArrayDeque<>();

	final Deque<OfferedRequest> batch = new ArrayDeque<>();

	double weight;

	/** Virtual time at which the team's granted work ends. */
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
