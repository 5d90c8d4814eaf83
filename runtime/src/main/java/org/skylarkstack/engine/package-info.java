/**
 * Adapter to the model engines.
 */
@NullMarked
package org.skylarkstack.engine;

import org.jspecify.annotations.NullMarked;
