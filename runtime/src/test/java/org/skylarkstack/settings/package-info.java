/**
 * Tests of the settings.
 */
@NullMarked
package org.skylarkstack.settings;

import org.jspecify.annotations.NullMarked;
