/**
 * Membership of the fleet: detects through heartbeats and the platform's VM list which
 * daemons are live.
 */
@NullMarked
package org.skylarkstack.membership;

import org.jspecify.annotations.NullMarked;
