/**
 * Settings of a daemon, read from JSON and checked against a schema.
 */
@NullMarked
package org.skylarkstack.settings;

import org.jspecify.annotations.NullMarked;
