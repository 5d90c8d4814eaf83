package org.skylarkstack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Runs a small experiment and checks its results and files. No assertion depends on the
 * speed of the machine.
 */
class SmokeTests {

	@TempDir
	@SuppressWarnings("NullAway.Init")
	private Path directory;

	/**
	 * Guards against a run whose figures omit requests and against missing result files.
	 */
	@Test
	void runAccountsForEachRequestAndWritesItsResults() throws IOException {
		List<String> progress = new ArrayList<>();
		BenchOptions options = new BenchOptions("smoke", List.of("fair-queue"), List.of(0.3), 1, 2, 1, List.of(), "",
				false, 0, this.directory);
		BenchResults results = new Experiment(options, progress::add).run();
		Path page = new ResultWriter(this.directory).write(results);
		RunFigures figures = results.runs().get(0).figures();
		int planned = new ArrivalPlan(BenchProfile.named("smoke"), results.runs().get(0).seed())
			.plan(results.runs().get(0).requestsPerSecond(), 2, "", 1)
			.size();
		assertThat(figures.requests()).isEqualTo(planned);
		long failed = figures.errors().values().stream().mapToLong(Long::longValue).sum();
		assertThat(Math.round(figures.whole() * planned) + failed).isEqualTo((long) planned);
		assertThat(figures.whole()).isGreaterThan(0.0);
		assertWithMessage("%s", figures.breaches()).that(figures.breaches().total()).isEqualTo(0);
		assertThat(progress).isNotEmpty();
		JsonNode json = new ObjectMapper().readTree(this.directory.resolve("results.json").toFile());
		assertThat(json.path("runs").path(0).path("figures").path("requests").asInt()).isEqualTo(planned);
		assertThat(Files.readString(page)).contains("data:image/png;base64,iVBOR");
		assertThat(ResultWriter.text(results)).contains("fair-queue");
	}

}
