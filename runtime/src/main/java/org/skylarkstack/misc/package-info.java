/**
 * Small helpers without a domain of their own.
 */
@NullMarked
package org.skylarkstack.misc;

import org.jspecify.annotations.NullMarked;
