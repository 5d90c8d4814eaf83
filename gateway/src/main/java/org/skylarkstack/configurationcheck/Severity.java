package org.skylarkstack.configurationcheck;

/**
 * Severities of findings.
 */
public enum Severity {

	/** The configuration must not be sent. */
	ERROR,

	/** Part of the configuration has no effect or contradicts another part. */
	WARNING,

	/** Difference from the configuration in force. */
	CHANGE

}
