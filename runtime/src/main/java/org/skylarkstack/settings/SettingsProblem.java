package org.skylarkstack.settings;

/**
 * One fault in a settings file.
 *
 * @param pointer the JSON pointer of the faulty value
 * @param message what is wrong
 */
public record SettingsProblem(String pointer, String message) {

	@Override
	public String toString() {
		return (this.pointer.isEmpty() ? "/" : this.pointer) + ": " + this.message;
	}

}
