/** Quotas of customers: the check of requests and the exchange of their use with other routers. */
package org.hornbeamhead.gateway.quota;
