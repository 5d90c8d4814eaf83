/**
 * Scenarios over whole fleets on loopback.
 */
@NullMarked
package org.skylarkstack.testsuite;

import org.jspecify.annotations.NullMarked;
