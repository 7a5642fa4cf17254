/**
 * A router that forwards requests byte for byte between callers and replicas. The dialect of headers, the source of
 * configuration and the platform's store are passed in as ports.
 */
package org.hornbeamhead.gateway;
