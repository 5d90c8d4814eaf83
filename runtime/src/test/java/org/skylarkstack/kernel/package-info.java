/**
 * Tests of the kernel.
 */
@NullMarked
package org.skylarkstack.kernel;

import org.jspecify.annotations.NullMarked;
