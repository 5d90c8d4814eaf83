/**
 * Runs the requests of callers, from admission to the settlement of their tokens, on
 * model engines and plain services, with retries, idempotency claims and crash suspects.
 */
@NullMarked
package org.skylarkstack.request;

import org.jspecify.annotations.NullMarked;
