package org.skylarkstack.peers;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack form of usage reports.
 */
final class UsageCodec {

	private static final int FORMAT = 1;

	private UsageCodec() {
	}

	static byte[] encode(UsageReport report) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(FORMAT);
			packer.packString(report.vmId());
			packer.packLong(report.incarnation());
			packer.packLong(report.number());
			pack(packer, report.unitsByTeam());
			pack(packer, report.tokensByEngine());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void pack(MessageBufferPacker packer, Map<String, Long> values) throws IOException {
		packer.packMapHeader(values.size());
		for (Map.Entry<String, Long> entry : values.entrySet()) {
			packer.packString(entry.getKey());
			packer.packLong(entry.getValue());
		}
	}

	/**
	 * Decodes a report.
	 * @param bytes the datagram
	 * @return the report, or {@code null} if the datagram is none
	 */
	static @Nullable UsageReport decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			if (unpacker.unpackInt() != FORMAT) {
				return null;
			}
			return new UsageReport(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong(),
					unpack(unpacker), unpack(unpacker));
		}
		catch (IOException | MessagePackException ex) {
			// Anyone can send a datagram; the link counts what is not understood.
			return null;
		}
	}

	private static Map<String, Long> unpack(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, Long> values = new HashMap<>();
		for (int entry = 0; entry < size; entry++) {
			values.put(unpacker.unpackString(), unpacker.unpackLong());
		}
		return values;
	}

}
