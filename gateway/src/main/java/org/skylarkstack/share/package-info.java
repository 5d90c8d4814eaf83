/**
 * Division of the limits of backend servers among the daemons.
 */
@NullMarked
package org.skylarkstack.share;

import org.jspecify.annotations.NullMarked;
