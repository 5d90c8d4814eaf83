package org.skylarkstack.tool;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * Base class of the subcommands of the command line.
 */
abstract class Command {

	private final String name;

	private final String summary;

	Command(String name, String summary) {
		this.name = name;
		this.summary = summary;
	}

	String summary() {
		return this.summary;
	}

	abstract Options options();

	abstract ExitCode execute(CommandLine line) throws ParseException;

	ExitCode run(List<String> arguments) {
		Options options = options().addOption("h", "help", false, "print this help");
		if (arguments.contains("--help") || arguments.contains("-h")) {
			printHelp(options);
			return ExitCode.OK;
		}
		try {
			CommandLine line = new DefaultParser().parse(options, arguments.toArray(String[]::new));
			return execute(line);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			printHelp(options);
			return ExitCode.USAGE;
		}
	}

	private void printHelp(Options options) {
		try {
			HelpFormatter.builder()
				.setShowSince(false)
				.get()
				.printHelp("skylarkstack " + this.name + " [OPTIONS]", this.summary, options, "", false);
		}
		catch (java.io.IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

}
