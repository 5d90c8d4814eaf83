/**
 * HTTP/1.1 edge towards callers and backend servers, on one event loop.
 */
@NullMarked
package org.skylarkstack.edge;

import org.jspecify.annotations.NullMarked;
