/**
 * Decisions about second attempts (hedged requests): when one is sent, and how many.
 */
@NullMarked
package org.skylarkstack.hedging;

import org.jspecify.annotations.NullMarked;
