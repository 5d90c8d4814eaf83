package org.skylarkstack.tool;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),

	/** The command failed or found a fault. */
	FAILED(1),

	/** The command line is invalid. */
	USAGE(2);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the code, 0 for success
	 */
	public int code() {
		return this.code;
	}

}
