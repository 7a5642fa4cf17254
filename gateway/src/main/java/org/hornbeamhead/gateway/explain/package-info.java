/** Explains to operators what this router would do with a request, without sending or changing anything. */
package org.hornbeamhead.gateway.explain;
