/**
 * Requests to backend servers that are slow after their start.
 */
@NullMarked
package org.skylarkstack.coldness;

import org.jspecify.annotations.NullMarked;
