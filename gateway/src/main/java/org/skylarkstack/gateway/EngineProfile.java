package org.skylarkstack.gateway;

/**
 * Properties that all model engines of a service have in common.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param kvTokens the capacity of an engine's KV cache in tokens
 * @param tokensPerEvent the largest number of tokens in one event of a stream
 * @param prefillResultTtlMillis how long an engine keeps a prefill result, in
 * milliseconds
 */
public record EngineProfile(int slots, long kvTokens, int tokensPerEvent, long prefillResultTtlMillis) {

}
