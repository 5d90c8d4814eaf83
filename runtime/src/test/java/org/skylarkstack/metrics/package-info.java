/**
 * Tests of the metrics.
 */
@NullMarked
package org.skylarkstack.metrics;

import org.jspecify.annotations.NullMarked;
