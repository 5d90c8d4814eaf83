/**
 * Tests of the load and experiment tool.
 */
@NullMarked
package org.skylarkstack.bench;

import org.jspecify.annotations.NullMarked;
