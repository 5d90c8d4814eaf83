/**
 * Tests of package http.
 */
@NullMarked
package org.skylarkstack.http;

import org.jspecify.annotations.NullMarked;
