/**
 * Messages between daemons and their transport.
 */
@NullMarked
package org.skylarkstack.peer;

import org.jspecify.annotations.NullMarked;
