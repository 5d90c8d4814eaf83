/**
 * Decisions about the responses of backend servers.
 */
@NullMarked
package org.skylarkstack.response;

import org.jspecify.annotations.NullMarked;
