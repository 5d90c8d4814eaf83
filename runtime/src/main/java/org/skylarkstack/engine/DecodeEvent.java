package org.skylarkstack.engine;

/**
 * One event of a decode stream.
 *
 * @param tokenOffset the number of output tokens up to and including this event
 * @param data the JSON payload
 */
public record DecodeEvent(int tokenOffset, String data) {

}
