/**
 * Tests of recording, merging and distributing tickets and snapshots.
 */
@NullMarked
package org.skylarkstack.configuration;

import org.jspecify.annotations.NullMarked;
