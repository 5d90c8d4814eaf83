/**
 * Tests of local fleets.
 */
@NullMarked
package org.skylarkstack.fleet;

import org.jspecify.annotations.NullMarked;
