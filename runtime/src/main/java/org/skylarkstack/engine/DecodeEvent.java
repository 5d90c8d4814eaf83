package org.skylarkstack.engine;

/**
 * One event of a decode stream.
 *
 * @param tokenOffset the position of this event's token, counted from 1 over all choices
 * of the response; 0 if the event carries no token, such as the event with the usage
 * @param data the JSON payload
 */
public record DecodeEvent(int tokenOffset, String data) {

}
