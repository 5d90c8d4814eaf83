/**
 * Assembly and life cycle of a daemon.
 */
@NullMarked
package org.skylarkstack.daemon;

import org.jspecify.annotations.NullMarked;
