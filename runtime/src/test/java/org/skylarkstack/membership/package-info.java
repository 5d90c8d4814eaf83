/**
 * Tests of membership.
 */
@NullMarked
package org.skylarkstack.membership;

import org.jspecify.annotations.NullMarked;
