/** Finds out which software began a stream that a caller resumes, with the help of other routers. */
package org.hornbeamhead.gateway.resume;
