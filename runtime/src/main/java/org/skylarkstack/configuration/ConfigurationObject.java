package org.skylarkstack.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Configuration object that operators set through tickets.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = Team.class, name = "TEAM"),
		@JsonSubTypes.Type(value = ApiKey.class, name = "KEY"),
		@JsonSubTypes.Type(value = BackendService.class, name = "SERVICE"),
		@JsonSubTypes.Type(value = Route.class, name = "ROUTE"),
		@JsonSubTypes.Type(value = EngineNode.class, name = "ENGINE") })
public sealed interface ConfigurationObject permits Team, ApiKey, BackendService, Route, EngineNode {

	/**
	 * Returns the identifier, unique within the kind.
	 * @return the identifier
	 */
	String id();

	/**
	 * Returns the kind of this object.
	 * @return the kind
	 */
	ObjectKind objectKind();

}
