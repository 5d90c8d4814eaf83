package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Service that requests are routed to.
 *
 * @param name the name
 * @param maxConnections the connections that each server accepts from all callers
 * @param engine the profile of its model engines, or {@code null} for a plain service
 */
public record ServicePolicy(String name, int maxConnections, @Nullable EngineProfile engine) {

}
