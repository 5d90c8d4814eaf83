package org.skylarkstack.standin;

import java.util.ArrayList;
import java.util.List;

import org.skylarkstack.misc.Hashes;

/**
 * Splits prompts into prefix blocks. A token counts as four characters of the prompt's
 * JSON text, which is also the router's estimate.
 */
public final class PrefixBlocks {

	/** Size of a block in tokens. */
	public static final int BLOCK_TOKENS = 256;

	private static final int TOKEN_CHARACTERS = 4;

	private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * TOKEN_CHARACTERS;

	private PrefixBlocks() {
	}

	/**
	 * Returns the number of tokens of a prompt.
	 * @param prompt the prompt's JSON text
	 * @return the number of tokens, at least 1
	 */
	public static int tokens(String prompt) {
		return Math.max(1, prompt.length() / TOKEN_CHARACTERS);
	}

	/**
	 * Returns the hashes of the complete blocks; an incomplete last block has none. Each
	 * hash covers its block and all blocks before it.
	 * @param prompt the prompt's JSON text
	 * @return the chained hashes, first block first
	 */
	public static List<Long> hashes(String prompt) {
		List<Long> hashes = new ArrayList<>();
		long previous = 0;
		for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
			previous = Hashes.stable64(Long.toHexString(previous) + prompt.substring(end - BLOCK_CHARACTERS, end));
			hashes.add(previous);
		}
		return hashes;
	}

}
