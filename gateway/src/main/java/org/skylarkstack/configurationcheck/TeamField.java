package org.skylarkstack.configurationcheck;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

import org.skylarkstack.gateway.TeamPolicy;

/**
 * Fields of teams other than the name.
 */
public enum TeamField implements Field<TeamPolicy> {

	/** Keys, which are shown as their number. */
	KEYS((team) -> team.keys().size()) {
		@Override
		public boolean differs(TeamPolicy old, TeamPolicy current) {
			return !old.keys().equals(current.keys());
		}

		@Override
		public String change(TeamPolicy old, TeamPolicy current) {
			return "%s (%d added, %d removed)".formatted(super.change(old, current),
					countWithout(current.keys(), old.keys()), countWithout(old.keys(), current.keys()));
		}
	},

	/** Priority. */
	PRIORITY((team) -> (team.priority() != null) ? team.priority() : "none"),

	/** Whether the limit counts tokens. */
	COUNTS_TOKENS((team) -> team.countsTokens() ? "tokens" : "requests"),

	/** Tokens counted for a request that states none. */
	DEFAULT_TOKENS(TeamPolicy::defaultTokens),

	/** Limit in units per second. */
	RATE(TeamPolicy::ratePerSecond),

	/** Burst in units. */
	BURST(TeamPolicy::burst);

	private final Function<TeamPolicy, Object> value;

	TeamField(Function<TeamPolicy, Object> value) {
		this.value = value;
	}

	private static int countWithout(Set<String> keys, Set<String> others) {
		Set<String> remaining = new HashSet<>(keys);
		remaining.removeAll(others);
		return remaining.size();
	}

	@Override
	public Object value(TeamPolicy team) {
		return this.value.apply(team);
	}

}
