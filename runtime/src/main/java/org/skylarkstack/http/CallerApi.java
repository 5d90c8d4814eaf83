package org.skylarkstack.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.request.CompletionRequest;
import org.skylarkstack.request.RequestPipeline;

/**
 * OpenAI-compatible API for callers.
 */
public final class CallerApi {

	private final ObjectMapper mapper = new ObjectMapper();

	private final ConfigurationHolder configuration;

	private final Authenticator authenticator;

	private final RequestPipeline pipeline;

	/**
	 * Creates the API.
	 * @param configuration the configuration in force
	 * @param authenticator finds teams from keys
	 * @param pipeline runs requests
	 */
	public CallerApi(ConfigurationHolder configuration, Authenticator authenticator, RequestPipeline pipeline) {
		this.configuration = configuration;
		this.authenticator = authenticator;
		this.pipeline = pipeline;
	}

	/**
	 * Adds the routes to a server.
	 * @param config the server's configuration
	 */
	public void register(JavalinConfig config) {
		config.routes.post("/v1/chat/completions", this::complete);
		config.routes.post("/v1/completions", this::complete);
		config.routes.get("/v1/models", this::models);
		config.routes.get("/livez", (context) -> context.result("ok"));
		config.routes.get("/readyz", this::ready);
		config.routes.exception(RouterException.class, (failure, context) -> ErrorAnswer.write(context, failure));
	}

	private void ready(Context context) {
		if (this.configuration.current().appliedNumber() == 0) {
			throw new RouterException(ErrorType.NOT_READY);
		}
		context.result("ok");
	}

	private void models(Context context) {
		this.authenticator.team(this.authenticator.keyHash(context.header("Authorization")));
		ObjectNode answer = this.mapper.createObjectNode().put("object", "list");
		ArrayNode data = answer.putArray("data");
		this.configuration.current()
			.models()
			.forEach((model) -> data.addObject()
				.put("id", model)
				.put("object", "model")
				.put("created", 0)
				.put("owned_by", "skylarkstack"));
		context.contentType("application/json").result(answer.toString());
	}

	private void complete(Context context) throws IOException {
		Team team = this.authenticator.team(this.authenticator.keyHash(context.header("Authorization")));
		CompletionRequest request = CompletionRequest.parse(context.path(), readBody(context));
		if (this.configuration.current().engines(request.model()).isEmpty()) {
			throw new RouterException(ErrorType.UNKNOWN_MODEL, request.model());
		}
		if (request.stream()) {
			stream(context, team, request);
		}
		else {
			AnswerAssembler assembler = new AnswerAssembler(this.mapper, request.path());
			this.pipeline.run(team, request, assembler);
			context.header(ErrorAnswer.VERDICT, "ran");
			context.contentType("application/json").result(assembler.answer().toString());
		}
	}

	private void stream(Context context, Team team, CompletionRequest request) throws IOException {
		EventStreamWriter writer = new EventStreamWriter(context);
		try {
			this.pipeline.run(team, request, writer);
			writer.finish();
		}
		catch (RouterException ex) {
			if (!writer.started()) {
				throw ex;
			}
			writer.fail(ex);
		}
	}

	private JsonNode readBody(Context context) {
		try {
			return this.mapper.readTree(context.bodyAsBytes());
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body is not valid JSON");
		}
		catch (IOException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body could not be read");
		}
	}

}
