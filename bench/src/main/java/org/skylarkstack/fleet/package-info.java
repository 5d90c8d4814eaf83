/**
 * A fleet of daemons and stand-ins in one process on loopback, for the demo, the
 * scenarios and the bench.
 */
@NullMarked
package org.skylarkstack.fleet;

import org.jspecify.annotations.NullMarked;
