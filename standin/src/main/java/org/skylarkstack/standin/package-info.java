/**
 * Stand-ins for the systems around the router, for tests, the demo and the bench.
 */
@NullMarked
package org.skylarkstack.standin;

import org.jspecify.annotations.NullMarked;
