/**
 * Tests of the experiments.
 */
@NullMarked
package org.skylarkstack.bench;

import org.jspecify.annotations.NullMarked;
