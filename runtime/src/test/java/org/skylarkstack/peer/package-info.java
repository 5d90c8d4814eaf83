/**
 * Tests of the peer transport, and an in-memory fake.
 */
@NullMarked
package org.skylarkstack.peer;

import org.jspecify.annotations.NullMarked;
