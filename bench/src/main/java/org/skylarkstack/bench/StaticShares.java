package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.List;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.limit.StaticShareLimiter;
import org.skylarkstack.limit.TokenReservation;

/**
 * Baseline limiter that gives each VM a fixed share of the team's rate and burst.
 */
final class StaticShares implements RefusalScenario.RequestLimiter {

	private final EventQueue events;

	private final Team team;

	private final List<StaticShareLimiter> limiters = new ArrayList<>();

	StaticShares(EventQueue events, Team team, int vms) {
		this.events = events;
		this.team = team;
		for (int vm = 0; vm < vms; vm++) {
			this.limiters.add(new StaticShareLimiter(1.0 / vms));
		}
	}

	@Override
	public void request(int vm, long tokens, long used, long heldNanos, LimitSimulation.Observer observer) {
		StaticShareLimiter limiter = this.limiters.get(vm);
		try {
			TokenReservation reservation = limiter.reserve(this.team, tokens, this.events.nowNanos());
			observer.charged(this.events.nowNanos(), tokens);
			this.events.after(heldNanos, () -> {
				limiter.settle(reservation, used, this.events.nowNanos());
				observer.charged(this.events.nowNanos(), used - tokens);
			});
		}
		catch (RouterException ex) {
			observer.refused(this.events.nowNanos(), tokens);
		}
	}

}
