/**
 * Tests of fleet-wide limits.
 */
@NullMarked
package org.skylarkstack.limit;

import org.jspecify.annotations.NullMarked;
