/**
 * Tests of package engine.
 */
@NullMarked
package org.skylarkstack.engine;

import org.jspecify.annotations.NullMarked;
