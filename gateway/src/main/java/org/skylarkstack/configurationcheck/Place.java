package org.skylarkstack.configurationcheck;

import org.skylarkstack.gateway.ServicePolicy;
import org.skylarkstack.gateway.ServiceRoute;
import org.skylarkstack.gateway.TeamPolicy;

/**
 * Place of a finding in a configuration.
 *
 * @param section the section
 * @param index the index of the entry in its section, or -1 if the finding is not about
 * an entry of this configuration
 * @param name the name of the entry; empty if there is no entry
 */
public record Place(Section section, int index, String name) {

	private static final int NO_INDEX = -1;

	static Place of(Section section) {
		return new Place(section, NO_INDEX, "");
	}

	static Place of(int index, ServiceRoute route) {
		String name = route.name().isEmpty() ? route.host() + route.prefix() : route.name();
		return new Place(Section.ROUTES, index, name);
	}

	static Place of(int index, ServicePolicy service) {
		return new Place(Section.SERVICES, index, service.name());
	}

	static Place of(int index, TeamPolicy team) {
		return new Place(Section.TEAMS, index, team.name());
	}

	Place withoutIndex() {
		return new Place(this.section, NO_INDEX, this.name);
	}

}
