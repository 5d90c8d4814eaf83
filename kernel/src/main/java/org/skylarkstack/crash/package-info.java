/**
 * Attribution of crashes of backend servers to requests and to parts of their prompts.
 */
@NullMarked
package org.skylarkstack.crash;

import org.jspecify.annotations.NullMarked;
