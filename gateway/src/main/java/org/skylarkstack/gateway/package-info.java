/**
 * Decisions of the gateway: routes, keys, limits, choice of backend servers, retries.
 */
@NullMarked
package org.skylarkstack.gateway;

import org.jspecify.annotations.NullMarked;
