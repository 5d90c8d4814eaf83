/**
 * Leases under which one VM at a time gives orders to an engine.
 */
@NullMarked
package org.skylarkstack.lease;

import org.jspecify.annotations.NullMarked;
