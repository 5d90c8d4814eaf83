package org.skylarkstack.configurationcheck;

/**
 * Sections of a configuration.
 */
public enum Section {

	/** The configuration as a whole. */
	CONFIGURATION,

	/** The routes. */
	ROUTES,

	/** The services. */
	SERVICES,

	/** The teams. */
	TEAMS,

	/** The limits on the connections and requests of callers. */
	LIMITS

}
