/**
 * A router that forwards requests unchanged, byte for byte, between callers and replicas. The header fields, the
 * configuration source and the platform's store are passed in as ports.
 */
package org.hornbeamhead.gateway;
