package org.skylarkstack.tool;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.daemon.Daemon;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.SettingsReader;

/**
 * Subcommand that runs a daemon until the process receives a termination signal.
 */
final class DaemonCommand extends Command {

	DaemonCommand() {
		super("daemon", "run a daemon");
	}

	@Override
	Options options() {
		return new Options().addRequiredOption("s", "settings", true, "settings file");
	}

	@Override
	ExitCode execute(CommandLine line) {
		DaemonSettings settings = new SettingsReader()
			.read(SettingsReader.text(Path.of(line.getOptionValue("settings"))));
		CountDownLatch stopped = new CountDownLatch(1);
		try (Daemon daemon = Daemon.start(settings)) {
			Runtime.getRuntime().addShutdownHook(new Thread(() -> {
				daemon.shutDown();
				stopped.countDown();
			}, "shutdown"));
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.OK;
	}

}
