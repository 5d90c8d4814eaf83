package org.skylarkstack.tool;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.skylarkstack.kernel.RouterException;

/**
 * Entry point of the command line.
 */
public final class Main {

	private static final Map<String, Command> COMMANDS = new TreeMap<>(Map.of("bench", new BenchCommand(), "check",
			new CheckCommand(), "daemon", new DaemonCommand(), "demo", new DemoCommand(), "report", new ReportCommand(),
			"standin", new StandinCommand(), "ticket", new TicketCommand()));

	private Main() {
	}

	/**
	 * Runs a subcommand and ends the process with its exit code.
	 * @param arguments the subcommand and its options
	 */
	public static void main(String[] arguments) {
		// The encoding of the locale may lack letters of names.
		System.setOut(new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8));
		System.setErr(new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8));
		System.exit(run(List.of(arguments)));
	}

	/**
	 * Runs a subcommand.
	 * @param arguments the subcommand and its options
	 * @return the exit code, see {@link ExitCode}
	 */
	public static int run(List<String> arguments) {
		Command command = arguments.isEmpty() ? null : COMMANDS.get(arguments.get(0));
		if (command == null) {
			boolean help = !arguments.isEmpty() && "--help".equals(arguments.get(0));
			printUsage();
			return help ? ExitCode.OK.code() : ExitCode.USAGE.code();
		}
		try {
			return command.run(arguments.subList(1, arguments.size())).code();
		}
		catch (RouterException ex) {
			System.err.println("error " + ex.type().code() + ": " + ex.getMessage());
			return ExitCode.FAILED.code();
		}
	}

	private static void printUsage() {
		System.err.println("usage: skylarkstack COMMAND [OPTIONS]");
		System.err.println("Run a command with --help for its options.");
		COMMANDS.forEach((name, command) -> System.err.printf("  %-8s %s%n", name, command.summary()));
	}

}
