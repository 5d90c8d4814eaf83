package org.skylarkstack.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Reads settings, checks them against the JSON schema and reports all errors together.
 */
public final class SettingsReader {

	private static final String SCHEMA_RESOURCE = "/org/skylarkstack/settings/daemon-settings.schema.json";

	private final ObjectMapper mapper = new ObjectMapper();

	private final JsonSchema schema = loadSchema();

	/**
	 * Checks settings against the schema.
	 * @param json the settings as JSON text
	 * @return all errors; empty if the settings are valid
	 */
	public List<SettingsProblem> check(String json) {
		try {
			JsonNode node = this.mapper.readTree(json);
			return this.schema.validate(node)
				.stream()
				.map((message) -> new SettingsProblem(message.getInstanceLocation().toString(), message.getError()))
				.sorted(java.util.Comparator.comparing(SettingsProblem::toString))
				.toList();
		}
		catch (JsonProcessingException ex) {
			return List.of(new SettingsProblem("", "not valid JSON: " + ex.getOriginalMessage()));
		}
	}

	/**
	 * Reads settings.
	 * @param json the settings as JSON text
	 * @return the settings
	 * @throws RouterException with {@link ErrorType#SETTINGS_INVALID} listing all errors
	 */
	public DaemonSettings read(String json) {
		List<SettingsProblem> problems = check(json);
		if (!problems.isEmpty()) {
			throw new RouterException(ErrorType.SETTINGS_INVALID, problems);
		}
		try {
			return this.mapper.readValue(json, DaemonSettings.class);
		}
		catch (JsonProcessingException ex) {
			throw RouterException.of(ErrorType.SETTINGS_INVALID, ErrorType.SETTINGS_INVALID.verdict(), ex,
					ex.getOriginalMessage());
		}
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the text of the file
	 * @throws RouterException with {@link ErrorType#SETTINGS_INVALID} if it cannot be
	 * read
	 */
	public static String text(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw RouterException.of(ErrorType.SETTINGS_INVALID, ErrorType.SETTINGS_INVALID.verdict(), ex,
					"cannot read " + file);
		}
	}

	private static JsonSchema loadSchema() {
		try (InputStream stream = SettingsReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
			if (stream == null) {
				throw new IllegalStateException("resource %s is missing".formatted(SCHEMA_RESOURCE));
			}
			SchemaValidatorsConfig config = SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
			return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream, config);
		}
		catch (IOException ex) {
			throw new IllegalStateException("resource %s cannot be read".formatted(SCHEMA_RESOURCE), ex);
		}
	}

}
