/**
 * Narrow interface to the platform's table service and object store.
 */
@NullMarked
package org.skylarkstack.store;

import org.jspecify.annotations.NullMarked;
