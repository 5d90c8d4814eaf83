/**
 * Measures how the cost of each role of a daemon grows with a single quantity.
 */
@NullMarked
package org.skylarkstack.bench.slope;

import org.jspecify.annotations.NullMarked;
