/**
 * Tests of engine leases and engine assignment policies.
 */
@NullMarked
package org.skylarkstack.lease;

import org.jspecify.annotations.NullMarked;
