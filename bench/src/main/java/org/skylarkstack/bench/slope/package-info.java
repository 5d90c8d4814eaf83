/**
 * Measures how the cost of each role of a daemon grows with one quantity at a time.
 */
@NullMarked
package org.skylarkstack.bench.slope;

import org.jspecify.annotations.NullMarked;
