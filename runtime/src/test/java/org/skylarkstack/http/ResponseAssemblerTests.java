package org.skylarkstack.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against fields that are lost when the chunks of a stream are assembled into one
 * response, because the caller did not ask for a stream.
 */
class ResponseAssemblerTests {

	private final ObjectMapper mapper = new ObjectMapper();

	private JsonNode assemble(String path, String... events) {
		ResponseAssembler assembler = new ResponseAssembler(this.mapper, path);
		for (String event : events) {
			assembler.event(event.replace('\'', '"'));
		}
		return assembler.response();
	}

	private JsonNode json(String text) throws Exception {
		return this.mapper.readTree(text.replace('\'', '"'));
	}

	@Test
	void choicesToolCallsAndUsageArePassedOnCompletely() throws Exception {
		JsonNode response = assemble("/v1/chat/completions",
				"{'id':'x','system_fingerprint':'f','choices':[{'index':1,'delta':{'role':'assistant','content':'b'}}]}",
				"{'id':'x','choices':[{'index':0,'delta':{'role':'assistant','tool_calls':[{'index':0,'id':'c1',"
						+ "'type':'function','function':{'name':'visit','arguments':'da'}}]}}]}",
				"{'id':'x','choices':[{'index':0,'delta':{'tool_calls':[{'index':0,'function':{'arguments':'y'}}"
						+ ",{'index':1,'id':'c2','type':'function','function':{'name':'n','arguments':''}}]}}]}",
				"{'id':'x','choices':[{'index':1,'delta':{'content':'c'},'logprobs':{'content':[{'token':'c'}]}}]}",
				"{'id':'x','choices':[{'index':1,'delta':{},'logprobs':{'content':[{'token':'d'}]},'finish_reason':'stop'},"
						+ "{'index':0,'delta':{},'finish_reason':'tool_calls'}]}",
				"{'id':'x','choices':[],'usage':{'prompt_tokens':3,'completion_tokens':4}}");
		assertThat(response.path("usage").path("completion_tokens").asInt()).isEqualTo(4);
		assertThat(response.path("system_fingerprint").asText()).isEqualTo("f");
		assertThat(response.path("object").asText()).isEqualTo("chat.completion");
		assertThat(response.path("choices").path(0))
			.isEqualTo(json("{'index':0,'message':{'role':'assistant','content':null,'tool_calls':["
					+ "{'id':'c1','type':'function','function':{'name':'visit','arguments':'day'}},"
					+ "{'id':'c2','type':'function','function':{'name':'n','arguments':''}}]},'finish_reason':'tool_calls'}"
						.replace("\\'", "\\\"")));
		assertThat(response.path("choices").path(1))
			.isEqualTo(json("{'index':1,'message':{'role':'assistant','content':'bc'},"
					+ "'logprobs':{'content':[{'token':'c'},{'token':'d'}]},'finish_reason':'stop'}"));
	}

	@Test
	void textCompletionsKeepTheirShape() throws Exception {
		JsonNode response = assemble("/v1/completions", "{'choices':[{'index':0,'text':'a','finish_reason':null}]}",
				"{'choices':[{'index':0,'text':'b','finish_reason':'length'}]}");
		assertThat(response.path("choices")).isEqualTo(json("[{'index':0,'text':'ab','finish_reason':'length'}]"));
	}

}
