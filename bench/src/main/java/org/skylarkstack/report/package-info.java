/**
 * Service-level report: error budgets, how fast they burn and what burns them.
 */
@NullMarked
package org.skylarkstack.report;

import org.jspecify.annotations.NullMarked;
