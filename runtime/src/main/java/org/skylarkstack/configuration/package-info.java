/**
 * The router configuration: the objects that operators set through numbered tickets, the
 * ticket log in the platform's table service, and the exchange of tickets and snapshots
 * between daemons.
 */
@NullMarked
package org.skylarkstack.configuration;

import org.jspecify.annotations.NullMarked;
