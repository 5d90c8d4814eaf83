/**
 * What daemons tell each other about the capacity and the limits that they use.
 */
@NullMarked
package org.skylarkstack.peers;

import org.jspecify.annotations.NullMarked;
