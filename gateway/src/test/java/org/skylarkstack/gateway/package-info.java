/**
 * Unit tests of routing, limits, retries and the selection of backend servers and
 * engines.
 */
@NullMarked
package org.skylarkstack.gateway;

import org.jspecify.annotations.NullMarked;
