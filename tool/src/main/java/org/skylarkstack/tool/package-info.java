/**
 * Command line with its subcommands, and the requests of the demo.
 */
@NullMarked
package org.skylarkstack.tool;

import org.jspecify.annotations.NullMarked;
