package org.skylarkstack.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Main}.
 */
class MainTests {

	@TempDir
	private Path folder;

	/**
	 * Guards against an invalid command line that exits with the code of a failed
	 * command, so that scripts cannot distinguish them.
	 */
	@Test
	void invalidCommandLinesExitWithTwo() {
		assertThat(Main.run(List.of())).isEqualTo(2);
		assertThat(Main.run(List.of("no-such-command"))).isEqualTo(2);
		assertThat(Main.run(List.of("check"))).isEqualTo(2);
		assertThat(Main.run(List.of("standin", "--type", "database"))).isEqualTo(2);
		assertThat(Main.run(List.of("standin", "--type", "engine", "--port", "x"))).isEqualTo(2);
	}

	/** Guards against a request for help that exits with an error code. */
	@Test
	void helpExitsWithZero() {
		assertThat(Main.run(List.of("--help"))).isEqualTo(0);
		for (String command : List.of("bench", "check", "daemon", "demo", "report", "standin")) {
			assertThat(Main.run(List.of(command, "--help"))).isEqualTo(0);
		}
	}

	/**
	 * Guards against an invalid settings file that is reported as valid, and against a
	 * valid one that is reported as invalid.
	 */
	@Test
	void checkDistinguishesValidFromInvalidSettings() throws IOException {
		Path invalid = Files.writeString(this.folder.resolve("faulty.json"), "{\"vmId\": 7}");
		assertThat(Main.run(List.of("check", "--settings", invalid.toString()))).isEqualTo(1);
		assertThat(Main.run(List.of("check", "--settings", "../docs/daemon.example.json"))).isEqualTo(0);
		assertThat(Main.run(List.of("check", "--settings", this.folder.resolve("absent").toString()))).isEqualTo(1);
	}

}
