/**
 * Logging to standard output as lines of key=value pairs. The queue of lines to be
 * written is bounded, and a thread that logs never blocks.
 */
@NullMarked
package org.skylarkstack.logs;

import org.jspecify.annotations.NullMarked;
