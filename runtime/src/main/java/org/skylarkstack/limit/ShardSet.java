package org.skylarkstack.limit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.misc.Hashes;

/**
 * Maps teams to shards and shards to soft owners, and encodes sets of shards for
 * heartbeats. A set of few shards is encoded as a list and a set of many as a bit set, so
 * that heartbeats stay small in both small and large fleets.
 */
public final class ShardSet {

	static final int SHARDS = 1024;

	private static final byte LIST_ENCODING = 1;

	private static final byte BIT_SET_ENCODING = 2;

	private static final int MAX_LIST_SHARDS = SHARDS / Byte.SIZE / Short.BYTES;

	private ShardSet() {
	}

	static int shardOf(String teamId) {
		return (int) Math.floorMod(Hashes.stable64(teamId), (long) SHARDS);
	}

	/**
	 * Returns the soft owner of each shard.
	 * @param view the live members; those that are leaving own no shards
	 * @return the identifiers of the owners, in the order of the shards; this VM for all
	 * shards if every member is leaving
	 */
	public static List<String> owners(MembershipView view) {
		List<String> candidates = view.members()
			.values()
			.stream()
			.filter((member) -> !member.leaving())
			.map(Member::vmId)
			.toList();
		List<String> owners = new ArrayList<>(SHARDS);
		for (int shard = 0; shard < SHARDS; shard++) {
			String owner = Hashes.rendezvous("rate-shard-" + shard, candidates);
			owners.add((owner != null) ? owner : view.self());
		}
		return owners;
	}

	static byte[] encode(BitSet shards) {
		if (shards.cardinality() > MAX_LIST_SHARDS) {
			byte[] bits = shards.toByteArray();
			return ByteBuffer.allocate(1 + bits.length).put(BIT_SET_ENCODING).put(bits).array();
		}
		ByteBuffer list = ByteBuffer.allocate(1 + shards.cardinality() * Short.BYTES).put(LIST_ENCODING);
		shards.stream().forEach((shard) -> list.putShort((short) shard));
		return list.array();
	}

	// Ignores shards out of range.
	static BitSet decode(byte[] bytes) {
		BitSet shards = new BitSet();
		if (bytes.length > 0 && bytes[0] == BIT_SET_ENCODING) {
			shards = BitSet.valueOf(Arrays.copyOfRange(bytes, 1, bytes.length));
			shards.clear(SHARDS, Math.max(SHARDS, shards.length()));
		}
		else if (bytes.length > 0 && bytes[0] == LIST_ENCODING) {
			ByteBuffer list = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
			while (list.remaining() >= Short.BYTES) {
				int shard = list.getShort();
				if (shard >= 0 && shard < SHARDS) {
					shards.set(shard);
				}
			}
		}
		return shards;
	}

}
