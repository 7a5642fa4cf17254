/** Which replicas a router reaches, by its own contacts and by what other routers tell. */
package org.hornbeamhead.core.path;
