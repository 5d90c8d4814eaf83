/**
 * Local fleet of daemons and stand-ins that runs on loopback in one process. The demo,
 * the scenario tests and the benchmark use it.
 */
@NullMarked
package org.skylarkstack.fleet;

import org.jspecify.annotations.NullMarked;
