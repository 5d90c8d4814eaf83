/**
 * Scenario tests of complete fleets on loopback.
 */
@NullMarked
package org.skylarkstack.testsuite;

import org.jspecify.annotations.NullMarked;
