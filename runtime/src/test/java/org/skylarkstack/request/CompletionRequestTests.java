package org.skylarkstack.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.IntNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class CompletionRequestTests {

	private static JsonNode enginePriority(String fields) throws Exception {
		JsonNode body = new ObjectMapper().readTree("{\"model\":\"model\",\"prompt\":\"x\"" + fields + "}");
		return CompletionRequest.parse("/v1/completions", body, false).engineBody().path("priority");
	}

	// Guards against a caller that overtakes other requests in the engines by setting its
	// own priority, and against a request that is served with the priority of the other
	// class.
	@ParameterizedTest
	@ValueSource(strings = { "", ",\"priority\":-9", ",\"priority\":7", ",\"priority\":null", ",\"priority\":\"-9\"",
			",\"priority\":1,\"priority\":-9" })
	void priorityIsThatOfTheClass(String field) throws Exception {
		assertThat(enginePriority(field)).isEqualTo(IntNode.valueOf(0));
		assertThat(enginePriority(field + ",\"service_tier\":\"batch\"")).isEqualTo(IntNode.valueOf(1));
		assertThat(enginePriority(field + ",\"service_tier\":\"flex\"")).isEqualTo(IntNode.valueOf(1));
	}

}
