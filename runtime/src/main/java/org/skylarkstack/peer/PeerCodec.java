package org.skylarkstack.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.skylarkstack.kernel.PluginRegistry;

/**
 * Encodes and decodes messages: two bytes for the message number, followed by the record
 * in MessagePack. Records are written as arrays, so that component names take no space.
 */
public final class PeerCodec {

	/** Maximum size of an encoded message in bytes. */
	public static final int MAX_MESSAGE_BYTES = 1024 * 1024 - FrameAuthenticator.OVERHEAD_BYTES;

	private static final int NUMBER_BYTES = 2;

	private final ObjectMapper mapper;

	private final Map<Integer, Class<? extends PeerMessage>> typeByNumber = new HashMap<>();

	private final Map<Class<?>, Integer> numberByType = new HashMap<>();

	/**
	 * Creates a codec for all registered message types.
	 * @param registry the registry with the message types
	 */
	public PeerCodec(PluginRegistry registry) {
		this.mapper = new ObjectMapper(new MessagePackFactory());
		this.mapper.setAnnotationIntrospector(new RecordsAsArrays());
		this.mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		for (String name : registry.names(PeerMessageType.class)) {
			PeerMessageType type = registry.create(PeerMessageType.class, name);
			if (this.typeByNumber.putIfAbsent(type.number(), type.type()) != null) {
				throw new IllegalStateException("message number %d is registered twice".formatted(type.number()));
			}
			this.numberByType.put(type.type(), type.number());
		}
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the bytes
	 * @throws IllegalArgumentException if its type is not registered, it cannot be
	 * encoded or it is too long
	 */
	public byte[] encode(PeerMessage message) {
		Integer number = this.numberByType.get(message.getClass());
		if (number == null) {
			throw new IllegalArgumentException(
					"message type %s is not registered".formatted(message.getClass().getName()));
		}
		try {
			byte[] body = this.mapper.writeValueAsBytes(message);
			if (body.length + NUMBER_BYTES > MAX_MESSAGE_BYTES) {
				throw new IllegalArgumentException("%s of %d bytes exceeds the frame bound"
					.formatted(message.getClass().getSimpleName(), body.length));
			}
			return ByteBuffer.allocate(NUMBER_BYTES + body.length).putShort(number.shortValue()).put(body).array();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("%s cannot be encoded".formatted(message.getClass().getSimpleName()),
					ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param bytes the bytes
	 * @return the message
	 * @throws IllegalArgumentException if the number is unknown or the bytes are
	 * malformed
	 */
	public PeerMessage decode(byte[] bytes) {
		if (bytes.length < NUMBER_BYTES) {
			throw new IllegalArgumentException("message of %d bytes is too short".formatted(bytes.length));
		}
		int number = ByteBuffer.wrap(bytes).getShort();
		Class<? extends PeerMessage> type = this.typeByNumber.get(number);
		if (type == null) {
			throw new IllegalArgumentException("message number %d is not registered".formatted(number));
		}
		try {
			checkLengths(bytes);
			PeerMessage message = this.mapper.readValue(bytes, NUMBER_BYTES, bytes.length - NUMBER_BYTES, type);
			if (message == null) {
				throw new IllegalArgumentException("message number %d has no content".formatted(number));
			}
			return message;
		}
		catch (IOException | RuntimeException ex) {
			// The parser of MessagePack throws various unchecked exceptions.
			throw new IllegalArgumentException("message number %d is malformed".formatted(number), ex);
		}
	}

	// The parser allocates a binary value before it reads it, so a length that exceeds
	// the message by gigabytes would exhaust the heap. Skipping a value allocates
	// nothing.
	private static void checkLengths(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, NUMBER_BYTES,
				bytes.length - NUMBER_BYTES)) {
			unpacker.skipValue();
		}
	}

	/**
	 * Configures Jackson to write records as arrays.
	 */
	private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {

		private static final long serialVersionUID = 1L;

		@Override
		public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
			if (annotated instanceof AnnotatedClass && annotated.getRawType().isRecord()) {
				return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
			}
			return super.findFormat(annotated);
		}

	}

}
