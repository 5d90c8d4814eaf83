package org.skylarkstack.bench;

/**
 * Planned request.
 *
 * @param number the number of the request in the run, from 0
 * @param offsetNanos the time from the start of the run in nanoseconds
 * @param team the team
 * @param kind the kind of request
 * @param promptTokens the prompt length in tokens
 * @param outputTokens the output length in tokens
 * @param context the number of the shared context that the prompt begins with
 */
public record Arrival(int number, long offsetNanos, TeamShare team, RequestKind kind, int promptTokens,
		int outputTokens, int context) {

}
