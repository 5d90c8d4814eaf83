package org.skylarkstack.gateway;

/**
 * Load of the model engines of a service, averaged over the last seconds.
 *
 * @param prefillEngines the engines that process prompts
 * @param busyPrefillEngines how many of them were busy, on average
 * @param decodeEngines the engines that generate tokens
 * @param decodeFill the occupied share of their memory, on average
 */
public record PoolLoad(int prefillEngines, double busyPrefillEngines, int decodeEngines, double decodeFill) {

}
