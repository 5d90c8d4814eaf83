/**
 * Speed of backend servers that share their machines with other work.
 */
@NullMarked
package org.skylarkstack.pace;

import org.jspecify.annotations.NullMarked;
