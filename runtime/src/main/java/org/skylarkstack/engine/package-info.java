/**
 * Client of the model engines, over their OpenAI-compatible HTTP API, and the HTTP
 * clients for all backend servers.
 */
@NullMarked
package org.skylarkstack.engine;

import org.jspecify.annotations.NullMarked;
