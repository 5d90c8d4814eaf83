/**
 * Tests of this package.
 */
@NullMarked
package org.skylarkstack.gateway;

import org.jspecify.annotations.NullMarked;
