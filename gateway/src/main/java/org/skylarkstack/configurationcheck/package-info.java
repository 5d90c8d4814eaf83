/**
 * Check of a configuration before operators write it to the store. Not used by the
 * daemon.
 */
@NullMarked
package org.skylarkstack.configurationcheck;

import org.jspecify.annotations.NullMarked;
