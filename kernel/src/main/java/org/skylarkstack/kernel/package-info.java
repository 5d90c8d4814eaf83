/**
 * Kernel: verdicts, errors, plug-in registration and duties.
 */
@NullMarked
package org.skylarkstack.kernel;

import org.jspecify.annotations.NullMarked;
