/** Limits of what each customer may send over all routers together, enforced by each router for itself. */
package org.hornbeamhead.core.quota;
