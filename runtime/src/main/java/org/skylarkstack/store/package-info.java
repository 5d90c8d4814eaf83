/**
 * Interfaces to the platform's table service and object store, with clients for the
 * DynamoDB and S3 APIs.
 */
@NullMarked
package org.skylarkstack.store;

import org.jspecify.annotations.NullMarked;
