/**
 * Tests of the HTTP APIs for callers and operators.
 */
@NullMarked
package org.skylarkstack.http;

import org.jspecify.annotations.NullMarked;
