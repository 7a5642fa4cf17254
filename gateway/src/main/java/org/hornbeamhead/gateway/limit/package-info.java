/** Request limits of replicas: what answers state, and the exchange of sends with other routers. */
package org.hornbeamhead.gateway.limit;
