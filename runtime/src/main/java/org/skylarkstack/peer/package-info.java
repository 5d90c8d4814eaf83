/**
 * Messages between daemons, their encoding, and the authenticated TCP transport that
 * carries them.
 */
@NullMarked
package org.skylarkstack.peer;

import org.jspecify.annotations.NullMarked;
