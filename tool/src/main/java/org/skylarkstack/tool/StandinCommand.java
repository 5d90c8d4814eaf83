package org.skylarkstack.tool;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.skylarkstack.standin.EngineStandIn;
import org.skylarkstack.standin.PlainServiceStandIn;
import org.skylarkstack.standin.PlatformStandIn;

/**
 * Subcommand that runs one stand-in on a loopback port until the process is interrupted.
 */
final class StandinCommand extends Command {

	private static final String DEFAULT_TOKEN_MILLIS = "20";

	StandinCommand() {
		super("standin", "run a stand-in engine, platform or plain service");
	}

	@Override
	Options options() {
		return new Options()
			.addOption(
					Option.builder("t").longOpt("type").hasArg().required().desc("engine, platform or service").get())
			.addOption("p", "port", true, "loopback port; 0 (default) selects a free port")
			.addOption("i", "id", true, "identifier of the engine (default engine-1)")
			.addOption("m", "token-millis", true, "milliseconds between two output tokens of the engine (default 20)");
	}

	@Override
	ExitCode execute(CommandLine line) throws ParseException {
		int port = parseInteger(line, "port", "0");
		try (AutoCloseable standIn = start(line, port)) {
			ProcessEnd.await();
			return ExitCode.OK;
		}
		catch (ParseException ex) {
			throw ex;
		}
		catch (Exception ex) {
			System.err.println("the stand-in could not be closed: " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	private static AutoCloseable start(CommandLine line, int port) throws ParseException {
		switch (line.getOptionValue("type")) {
			case "engine" -> {
				EngineStandIn engine = new EngineStandIn(line.getOptionValue("id", "engine-1"), port,
						parseInteger(line, "token-millis", DEFAULT_TOKEN_MILLIS));
				System.out.println("engine at " + engine.url());
				return engine;
			}
			case "platform" -> {
				PlatformStandIn platform = new PlatformStandIn(port);
				System.out.println("platform for data centre dc-a at " + platform.url("dc-a"));
				return platform;
			}
			case "service" -> {
				PlainServiceStandIn service = new PlainServiceStandIn(port);
				System.out.println("service at " + service.url());
				return service;
			}
			default -> throw new ParseException("--type must be engine, platform or service");
		}
	}

	private static int parseInteger(CommandLine line, String option, String defaultValue) throws ParseException {
		try {
			return Integer.parseInt(line.getOptionValue(option, defaultValue));
		}
		catch (NumberFormatException ex) {
			throw new ParseException("--" + option + " must be an integer");
		}
	}

}
