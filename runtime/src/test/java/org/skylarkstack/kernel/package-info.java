/**
 * Tests of the error types and verdicts, and a test helper for expected exceptions.
 */
@NullMarked
package org.skylarkstack.kernel;

import org.jspecify.annotations.NullMarked;
