/**
 * Routing of callers' requests to backend servers: route lookup, key checks, team limits,
 * server and engine selection, and retries.
 */
@NullMarked
package org.skylarkstack.gateway;

import org.jspecify.annotations.NullMarked;
