/**
 * Tests of the HTTP server for callers and the HTTP client for backend servers.
 */
@NullMarked
package org.skylarkstack.edge;

import org.jspecify.annotations.NullMarked;
