/**
 * Types that the other modules share: error types and verdicts, cancellation of requests,
 * plug-in registration, and threads that process messages.
 */
@NullMarked
package org.skylarkstack.kernel;

import org.jspecify.annotations.NullMarked;
