/**
 * Tests of the placement of requests on engines.
 */
@NullMarked
package org.skylarkstack.schedule;

import org.jspecify.annotations.NullMarked;
