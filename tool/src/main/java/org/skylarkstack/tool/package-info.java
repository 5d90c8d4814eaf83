/**
 * Command line, daemon assembly and demo.
 */
@NullMarked
package org.skylarkstack.tool;

import org.jspecify.annotations.NullMarked;
