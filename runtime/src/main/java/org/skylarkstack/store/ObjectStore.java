package org.skylarkstack.store;

import java.util.Optional;

/**
 * Client of the platform's object store.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the bytes, if the object exists
	 * @throws StoreException if the operation fails
	 */
	Optional<byte[]> get(String key);

	/**
	 * Writes an object.
	 * @param key the key
	 * @param bytes the bytes
	 * @throws StoreException if the operation fails
	 */
	void put(String key, byte[] bytes);

}
