package org.skylarkstack.tool;

/**
 * Outcome of one request of the demo.
 *
 * @param name what was sent
 * @param asExpected whether the outcome is the expected one
 * @param outcome what happened
 */
record DemoResult(String name, boolean asExpected, String outcome) {

}
