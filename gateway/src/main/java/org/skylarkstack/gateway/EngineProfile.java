package org.skylarkstack.gateway;

/**
 * What is known of the model engines of a service.
 *
 * @param slots the requests that an engine runs at once
 * @param kvTokens the memory of an engine in tokens
 * @param tokensPerEvent the most tokens of one event of a stream
 * @param prefillResultTtlMillis how long an engine keeps a prefill result, in
 * milliseconds
 */
public record EngineProfile(int slots, long kvTokens, int tokensPerEvent, long prefillResultTtlMillis) {

}
