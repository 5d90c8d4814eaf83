/**
 * Tests of this package.
 */
@NullMarked
package org.skylarkstack.edge;

import org.jspecify.annotations.NullMarked;
