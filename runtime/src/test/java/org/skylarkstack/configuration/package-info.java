/**
 * Tests of tickets, snapshots and their distribution.
 */
@NullMarked
package org.skylarkstack.configuration;

import org.jspecify.annotations.NullMarked;
