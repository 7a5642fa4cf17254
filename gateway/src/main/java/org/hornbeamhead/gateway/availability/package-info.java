/** Whether a replica may get a request now, from its entry, its own notices and its request limit. */
package org.hornbeamhead.gateway.availability;
