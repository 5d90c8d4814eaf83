/**
 * Tests and fakes of the peer transport.
 */
@NullMarked
package org.skylarkstack.peer;

import org.jspecify.annotations.NullMarked;
