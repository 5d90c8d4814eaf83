package org.skylarkstack.settings;

/**
 * One error in a settings file.
 *
 * @param pointer the JSON pointer of the invalid value; empty for the whole document
 * @param message the description of the error
 */
public record SettingsProblem(String pointer, String message) {

	@Override
	public String toString() {
		return (this.pointer.isEmpty() ? "/" : this.pointer) + ": " + this.message;
	}

}
