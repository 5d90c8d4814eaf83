package org.skylarkstack.tool;

import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.settings.SettingsProblem;
import org.skylarkstack.settings.SettingsReader;

/**
 * Subcommand that validates a settings file without starting a daemon.
 */
final class CheckCommand extends Command {

	CheckCommand() {
		super("check", "validate a settings file");
	}

	@Override
	Options options() {
		return new Options().addRequiredOption("s", "settings", true, "settings file");
	}

	@Override
	ExitCode execute(CommandLine line) {
		Path file = Path.of(line.getOptionValue("settings"));
		List<SettingsProblem> problems = new SettingsReader().check(SettingsReader.text(file));
		problems.forEach(System.out::println);
		System.out.println(problems.isEmpty() ? "settings are valid" : problems.size() + " problems");
		return problems.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

}
