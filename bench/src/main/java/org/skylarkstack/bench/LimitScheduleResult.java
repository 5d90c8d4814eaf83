package org.skylarkstack.bench;

import java.util.Optional;

/**
 * Result of one {@link LimitSchedule}.
 *
 * @param violation the first time window with more than rate x t + burst, if any
 * @param reserved the number of admitted requests
 * @param refused the number of refused requests
 */
record LimitScheduleResult(Optional<String> violation, long reserved, long refused) {

}
