/**
 * Tests of the store adapters against the platform stand-in.
 */
@NullMarked
package org.skylarkstack.standin;

import org.jspecify.annotations.NullMarked;
