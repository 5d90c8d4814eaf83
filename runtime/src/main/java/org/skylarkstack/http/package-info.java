/**
 * HTTP APIs for callers and operators: authentication, request limits, disconnect
 * detection, and the format of responses.
 */
@NullMarked
package org.skylarkstack.http;

import org.jspecify.annotations.NullMarked;
