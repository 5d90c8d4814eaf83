/**
 * Fleet-wide token limits of teams. VMs claim rate slots in the store, lend their slices
 * of the rates to soft owners and borrow grants of tokens from them.
 */
@NullMarked
package org.skylarkstack.limit;

import org.jspecify.annotations.NullMarked;
