/**
 * Tests of package request.
 */
@NullMarked
package org.skylarkstack.request;

import org.jspecify.annotations.NullMarked;
