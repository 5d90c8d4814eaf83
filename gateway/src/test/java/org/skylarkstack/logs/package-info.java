/**
 * Tests of the log.
 */
@NullMarked
package org.skylarkstack.logs;

import org.jspecify.annotations.NullMarked;
