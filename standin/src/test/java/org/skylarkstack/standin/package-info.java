/**
 * Tests of the stand-ins.
 */
@NullMarked
package org.skylarkstack.standin;

import org.jspecify.annotations.NullMarked;
