/**
 * Exchange of usage reports between daemons. From them, each daemon derives how much
 * engine memory and how much of each team's limit all daemons use together.
 */
@NullMarked
package org.skylarkstack.peers;

import org.jspecify.annotations.NullMarked;
