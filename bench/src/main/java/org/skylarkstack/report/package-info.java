/**
 * Service-level report: error budgets, their burn rates and the causes of failures.
 */
@NullMarked
package org.skylarkstack.report;

import org.jspecify.annotations.NullMarked;
