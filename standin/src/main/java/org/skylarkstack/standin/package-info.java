/**
 * Stand-ins for the systems around the router: engines, plain HTTP services and the
 * platform. Tests, the demo and the bench use them.
 */
@NullMarked
package org.skylarkstack.standin;

import org.jspecify.annotations.NullMarked;
