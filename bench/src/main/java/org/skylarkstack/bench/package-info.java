/**
 * Load generator, fault schedules and experiments.
 */
@NullMarked
package org.skylarkstack.bench;

import org.jspecify.annotations.NullMarked;
