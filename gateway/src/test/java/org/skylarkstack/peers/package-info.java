/**
 * Tests of this package.
 */
@NullMarked
package org.skylarkstack.peers;

import org.jspecify.annotations.NullMarked;
