/**
 * Which daemons are alive, and where.
 */
@NullMarked
package org.skylarkstack.membership;

import org.jspecify.annotations.NullMarked;
