/**
 * Tests of the settings of a daemon.
 */
@NullMarked
package org.skylarkstack.settings;

import org.jspecify.annotations.NullMarked;
