/**
 * Forms of text on wires and in logs in which different texts stay different.
 */
@NullMarked
package org.skylarkstack.text;

import org.jspecify.annotations.NullMarked;
