/**
 * Log lines of key=value pairs on standard output, bounded and never blocking.
 */
@NullMarked
package org.skylarkstack.logs;

import org.jspecify.annotations.NullMarked;
