package org.skylarkstack.tool;

/**
 * Result of one step of the demo.
 *
 * @param name the description of the step
 * @param asExpected whether the outcome matches the expected one
 * @param outcome the status, verdict and size of the response, or the time waited
 */
record DemoResult(String name, boolean asExpected, String outcome) {

}
