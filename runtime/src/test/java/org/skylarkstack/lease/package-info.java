/**
 * Tests of engine order leases.
 */
@NullMarked
package org.skylarkstack.lease;

import org.jspecify.annotations.NullMarked;
