package org.skylarkstack.bench;

import java.util.Optional;

/**
 * Result of one schedule.
 *
 * @param violation the first window that broke the bound, if any
 * @param reserved the requests that were admitted
 * @param refused the requests that were refused
 */
record LimitScheduleResult(Optional<String> violation, long reserved, long refused) {

}
