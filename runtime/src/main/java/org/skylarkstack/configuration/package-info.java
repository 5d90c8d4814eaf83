/**
 * Configuration objects, tickets and the merged configuration.
 */
@NullMarked
package org.skylarkstack.configuration;

import org.jspecify.annotations.NullMarked;
