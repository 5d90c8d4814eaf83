/**
 * Tests of the service-level report.
 */
@NullMarked
package org.skylarkstack.report;

import org.jspecify.annotations.NullMarked;
