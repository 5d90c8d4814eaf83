/**
 * Tests of the stand-ins and of the router's clients against them.
 */
@NullMarked
package org.skylarkstack.standin;

import org.jspecify.annotations.NullMarked;
