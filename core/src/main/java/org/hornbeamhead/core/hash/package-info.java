/** Hashes of fields that callers or replicas choose. */
package org.hornbeamhead.core.hash;
