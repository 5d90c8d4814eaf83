/**
 * Tests of the command line.
 */
@NullMarked
package org.skylarkstack.tool;

import org.jspecify.annotations.NullMarked;
