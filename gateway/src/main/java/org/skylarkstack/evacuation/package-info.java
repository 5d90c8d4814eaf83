/**
 * Data centres whose servers get no requests by order of the operators.
 */
@NullMarked
package org.skylarkstack.evacuation;

import org.jspecify.annotations.NullMarked;
