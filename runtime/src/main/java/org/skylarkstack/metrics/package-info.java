/**
 * Metrics of a daemon in the Prometheus format.
 */
@NullMarked
package org.skylarkstack.metrics;

import org.jspecify.annotations.NullMarked;
