/**
 * Tests of the membership rules.
 */
@NullMarked
package org.skylarkstack.membership;

import org.jspecify.annotations.NullMarked;
