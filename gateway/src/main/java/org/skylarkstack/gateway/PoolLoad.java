package org.skylarkstack.gateway;

/**
 * Load of the model engines of a service, averaged over the last seconds.
 *
 * @param prefillEngines the number of engines that process prompts
 * @param busyPrefillEngines the average number of them that were busy
 * @param decodeEngines the number of engines that generate tokens
 * @param decodeFill the average share of their memory that was occupied
 */
public record PoolLoad(int prefillEngines, double busyPrefillEngines, int decodeEngines, double decodeFill) {

}
