package org.skylarkstack.configuration;

/**
 * Kinds of configuration objects.
 */
public enum ObjectKind {

	/** A team with its rate limit and burst. */
	TEAM(Team.class),

	/** An API key of a team. */
	KEY(ApiKey.class),

	/** A plain HTTP service. */
	SERVICE(BackendService.class),

	/** A route from a path prefix to a plain HTTP service. */
	ROUTE(Route.class),

	/** An engine with its role. */
	ENGINE(EngineNode.class);

	private final Class<? extends ConfigurationObject> type;

	ObjectKind(Class<? extends ConfigurationObject> type) {
		this.type = type;
	}

	/**
	 * Returns the record type of this kind.
	 * @return the type
	 */
	public Class<? extends ConfigurationObject> type() {
		return this.type;
	}

}
