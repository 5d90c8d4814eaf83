/**
 * Request path from admission to settlement.
 */
@NullMarked
package org.skylarkstack.request;

import org.jspecify.annotations.NullMarked;
