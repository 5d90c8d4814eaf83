package org.skylarkstack.tool;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command did what it was asked to. */
	OK(0),

	/** The command ran and found a fault or failed. */
	FAILED(1),

	/** The command line is wrong. */
	USAGE(2);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the process exit code.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

}
