/**
 * Tests of the fleet-wide token limits of teams.
 */
@NullMarked
package org.skylarkstack.limit;

import org.jspecify.annotations.NullMarked;
