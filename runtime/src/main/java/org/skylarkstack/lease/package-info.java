/**
 * Leases under which one VM at a time sends orders to an engine, and policies that divide
 * engines among the pools of several models.
 */
@NullMarked
package org.skylarkstack.lease;

import org.jspecify.annotations.NullMarked;
