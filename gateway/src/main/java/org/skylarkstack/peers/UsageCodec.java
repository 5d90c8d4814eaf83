package org.skylarkstack.peers;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes usage reports as MessagePack and decodes them.
 */
final class UsageCodec {

	private static final int FORMAT_VERSION = 3;

	// Used only by reports that contain paces, so that daemons of the former build read
	// the reports of all fleets whose servers state none.
	private static final int FORMAT_VERSION_WITH_PACES = 4;

	private static final int MAX_PACE = 100_000;

	private static final long MAX_AMOUNT = 1L << 40;

	private UsageCodec() {
	}

	static byte[] encode(UsageReport report) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			boolean withPaces = !report.paces().isEmpty();
			packer.packInt(withPaces ? FORMAT_VERSION_WITH_PACES : FORMAT_VERSION);
			packer.packString(report.vmId());
			packer.packLong(report.incarnation());
			packer.packLong(report.sequenceNumber());
			packUnits(packer, report.unitsByTeam());
			packMemory(packer, report.memoryByEngine());
			packer.packArrayHeader(report.enginesChangingRole().size());
			for (String engine : report.enginesChangingRole()) {
				packer.packString(engine);
			}
			packCrashes(packer, report.crashes());
			packer.packLong(report.configurationVersion());
			if (withPaces) {
				packPaces(packer, report.paces());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void packPaces(MessageBufferPacker packer, Map<String, Integer> paces) throws IOException {
		packer.packMapHeader(paces.size());
		for (Map.Entry<String, Integer> entry : paces.entrySet()) {
			packer.packString(entry.getKey());
			packer.packInt(entry.getValue());
		}
	}

	private static Map<String, Integer> unpackPaces(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, Integer> paces = new HashMap<>();
		for (int entry = 0; entry < size; entry++) {
			paces.put(unpacker.unpackString(), Math.max(1, Math.min(MAX_PACE, unpacker.unpackInt())));
		}
		return paces;
	}

	private static void packUnits(MessageBufferPacker packer, Map<String, Long> values) throws IOException {
		packer.packMapHeader(values.size());
		for (Map.Entry<String, Long> entry : values.entrySet()) {
			packer.packString(entry.getKey());
			packer.packLong(entry.getValue());
		}
	}

	private static void packCrashes(MessageBufferPacker packer, CrashReport report) throws IOException {
		packer.packArrayHeader(report.crashes().size());
		for (ReportedCrash crash : report.crashes()) {
			packer.packString(crash.crashId());
			packer.packString(crash.request());
			packer.packArrayHeader(crash.parts().size());
			for (String part : crash.parts()) {
				packer.packString(part);
			}
			packer.packBoolean(crash.started());
			packer.packLong(crash.ageMillis());
		}
		packUnits(packer, report.successAges());
		packer.packMapHeader(report.blocks().size());
		for (Map.Entry<String, ReportedBlock> entry : report.blocks().entrySet()) {
			packer.packString(entry.getKey());
			packer.packInt(entry.getValue().level());
			packer.packLong(entry.getValue().ageMillis());
		}
	}

	private static void packMemory(MessageBufferPacker packer, Map<String, List<RequestMemory>> memoryByEngine)
			throws IOException {
		packer.packMapHeader(memoryByEngine.size());
		for (Map.Entry<String, List<RequestMemory>> entry : memoryByEngine.entrySet()) {
			packer.packString(entry.getKey());
			packer.packArrayHeader(entry.getValue().size());
			for (RequestMemory request : entry.getValue()) {
				packer.packLong(request.tokens());
				packer.packLong(request.expectedGrowthTokens());
			}
		}
	}

	/**
	 * Decodes the reports of a datagram.
	 * @param bytes the payload of the datagram
	 * @return the reports before the first one that cannot be decoded
	 */
	static List<UsageReport> decode(byte[] bytes) {
		List<UsageReport> reports = new ArrayList<>();
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			while (unpacker.hasNext()) {
				int format = unpacker.unpackInt();
				if (format != FORMAT_VERSION && format != FORMAT_VERSION_WITH_PACES) {
					break;
				}
				reports.add(new UsageReport(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong(),
						unpackUnits(unpacker), unpackMemory(unpacker), Set.copyOf(unpackStrings(unpacker)),
						unpackCrashes(unpacker), unpacker.unpackLong(),
						(format == FORMAT_VERSION_WITH_PACES) ? unpackPaces(unpacker) : Map.of()));
			}
		}
		catch (IOException | MessagePackException ex) {
			// Any process can send a datagram. PeerLink logs a datagram that contains no
			// readable report.
			return reports;
		}
		return reports;
	}

	// Sums and differences of amounts must not overflow, whatever a sender states.
	private static long unpackAmount(MessageUnpacker unpacker) throws IOException {
		return Math.max(-MAX_AMOUNT, Math.min(MAX_AMOUNT, unpacker.unpackLong()));
	}

	private static long unpackTokens(MessageUnpacker unpacker) throws IOException {
		return Math.max(0, unpackAmount(unpacker));
	}

	private static Map<String, Long> unpackUnits(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, Long> values = new HashMap<>();
		for (int entry = 0; entry < size; entry++) {
			values.put(unpacker.unpackString(), unpackAmount(unpacker));
		}
		return values;
	}

	private static CrashReport unpackCrashes(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<ReportedCrash> crashes = new ArrayList<>();
		for (int entry = 0; entry < size; entry++) {
			crashes.add(new ReportedCrash(unpacker.unpackString(), unpacker.unpackString(), unpackStrings(unpacker),
					unpacker.unpackBoolean(), unpacker.unpackLong()));
		}
		Map<String, Long> successAges = unpackUnits(unpacker);
		int blockCount = unpacker.unpackMapHeader();
		Map<String, ReportedBlock> blocks = new HashMap<>();
		for (int entry = 0; entry < blockCount; entry++) {
			blocks.put(unpacker.unpackString(), new ReportedBlock(unpacker.unpackInt(), unpacker.unpackLong()));
		}
		return new CrashReport(crashes, successAges, blocks);
	}

	private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<String> values = new ArrayList<>();
		for (int entry = 0; entry < size; entry++) {
			values.add(unpacker.unpackString());
		}
		return values;
	}

	private static Map<String, List<RequestMemory>> unpackMemory(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, List<RequestMemory>> memoryByEngine = new HashMap<>();
		for (int entry = 0; entry < size; entry++) {
			String engine = unpacker.unpackString();
			int count = unpacker.unpackArrayHeader();
			List<RequestMemory> list = new ArrayList<>();
			for (int request = 0; request < count; request++) {
				list.add(new RequestMemory(unpackTokens(unpacker), unpackTokens(unpacker)));
			}
			memoryByEngine.put(engine, list);
		}
		return memoryByEngine;
	}

}
