package org.skylarkstack.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits the number of team labels. The first teams seen get a label of their own; all
 * other teams share one label, so that tens of thousands of teams do not each create a
 * time series.
 */
final class TeamLabels {

	static final String OTHER = "other";

	private final int maxTeams;

	private final Set<String> teams = ConcurrentHashMap.newKeySet();

	TeamLabels(int maxTeams) {
		this.maxTeams = maxTeams;
	}

	String label(String teamId) {
		if (this.teams.contains(teamId)) {
			return teamId;
		}
		if (this.teams.size() >= this.maxTeams) {
			return OTHER;
		}
		synchronized (this) {
			if (this.teams.size() < this.maxTeams) {
				this.teams.add(teamId);
			}
		}
		return this.teams.contains(teamId) ? teamId : OTHER;
	}

}
