/**
 * Tests of the metrics of a daemon.
 */
@NullMarked
package org.skylarkstack.metrics;

import org.jspecify.annotations.NullMarked;
