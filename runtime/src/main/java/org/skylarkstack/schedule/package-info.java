/**
 * Places requests on prefill and decode engines: decides whether a request is admitted,
 * in which fair order the teams are served, and which engines run a request.
 */
@NullMarked
package org.skylarkstack.schedule;

import org.jspecify.annotations.NullMarked;
