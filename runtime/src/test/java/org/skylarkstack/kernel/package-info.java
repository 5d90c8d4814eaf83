/**
 * Tests and test helpers of package kernel.
 */
@NullMarked
package org.skylarkstack.kernel;

import org.jspecify.annotations.NullMarked;
