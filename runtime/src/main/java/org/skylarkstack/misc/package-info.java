/**
 * Hash functions and clocks shared by several packages.
 */
@NullMarked
package org.skylarkstack.misc;

import org.jspecify.annotations.NullMarked;
