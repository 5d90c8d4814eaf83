/**
 * Tests of the exchange of usage reports between daemons.
 */
@NullMarked
package org.skylarkstack.peers;

import org.jspecify.annotations.NullMarked;
