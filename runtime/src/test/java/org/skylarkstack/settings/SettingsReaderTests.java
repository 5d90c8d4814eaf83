package org.skylarkstack.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final Path REFERENCE = Path.of("..", "docs", "settings.md");

	private static final Path EXAMPLE = Path.of("..", "docs", "daemon.example.json");

	private final SettingsReader reader = new SettingsReader();

	/** Guards against an example in the docs that the daemon rejects. */
	@Test
	void exampleInTheDocsIsValid() throws IOException {
		String json = Files.readString(EXAMPLE);
		assertThat(this.reader.check(json)).isEmpty();
		DaemonSettings settings = this.reader.read(json);
		assertThat(settings.peers()).isNotEmpty();
		assertThat(settings.callerLimits()).isNotNull();
	}

	/**
	 * Guards against reports of only the first error, after which an operator has to
	 * correct the file and restart the daemon once for each error.
	 */
	@Test
	void allProblemsAreReportedTogetherWithTheirPointers() throws IOException {
		JsonNode settings = new ObjectMapper().readTree(Files.readString(EXAMPLE));
		((com.fasterxml.jackson.databind.node.ObjectNode) settings).put("slotCount", 0).put("colour", "red");
		((com.fasterxml.jackson.databind.node.ObjectNode) settings.path("callerAddress")).put("port", 70_000);
		List<SettingsProblem> problems = this.reader.check(settings.toString());
		assertThat(problems).hasSize(3);
		assertThat(problems.stream().map(SettingsProblem::pointer).toList()).containsAtLeast("/slotCount",
				"/callerAddress/port");
		assertThat(problems.toString()).contains("colour");
	}

	/**
	 * Guards against a settings reference in the docs that omits a setting or lists a
	 * removed one.
	 */
	@Test
	void referenceNamesExactlyTheSettingsOfTheSchema() throws IOException {
		JsonNode schema;
		try (var stream = SettingsReader.class.getResourceAsStream("daemon-settings.schema.json")) {
			schema = new ObjectMapper().readTree(stream);
		}
		TreeSet<String> names = new TreeSet<>();
		collect("", schema, names);
		TreeSet<String> documented = new TreeSet<>();
		Files.readAllLines(REFERENCE)
			.stream()
			.filter((line) -> line.startsWith("| `"))
			.forEach((line) -> documented.add(line.substring(3, line.indexOf('`', 3))));
		assertThat(documented).isEqualTo(names);
	}

	private static void collect(String prefix, JsonNode schema, TreeSet<String> names) {
		for (Map.Entry<String, JsonNode> property : schema.path("properties").properties()) {
			JsonNode value = property.getValue();
			String name = prefix + property.getKey();
			names.add(name);
			collect(name + ".", value, names);
			collect(name + "[].", value.path("items"), names);
		}
	}

}
