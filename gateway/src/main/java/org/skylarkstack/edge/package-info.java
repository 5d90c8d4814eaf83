/**
 * HTTP/1.1 server for callers and HTTP/1.1 client for backend servers, both on one event
 * loop.
 */
@NullMarked
package org.skylarkstack.edge;

import org.jspecify.annotations.NullMarked;
