/** The load that replicas state in their responses. */
package org.hornbeamhead.core.load;
