/** What replicas say about whether they take requests, and what follows for a router. */
package org.hornbeamhead.core.availability;
