/**
 * Tests of placement.
 */
@NullMarked
package org.skylarkstack.schedule;

import org.jspecify.annotations.NullMarked;
