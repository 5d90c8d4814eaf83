/**
 * Assembles a daemon by dependency injection, starts it and shuts it down.
 */
@NullMarked
package org.skylarkstack.daemon;

import org.jspecify.annotations.NullMarked;
