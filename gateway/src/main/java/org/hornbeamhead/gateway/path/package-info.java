/** Notices that this host has lost its path to replicas, and hands requests to routers that have one. */
package org.hornbeamhead.gateway.path;
