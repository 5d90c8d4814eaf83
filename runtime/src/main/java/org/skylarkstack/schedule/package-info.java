/**
 * Placement of requests on engines, admission and fairness.
 */
@NullMarked
package org.skylarkstack.schedule;

import org.jspecify.annotations.NullMarked;
