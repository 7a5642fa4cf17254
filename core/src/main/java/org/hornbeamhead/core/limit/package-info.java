/** Limits that replicas state of the requests that they take from all routers together. */
package org.hornbeamhead.core.limit;
