/** Streams that go on at another replica than the one that began them, which must run the same software version. */
package org.hornbeamhead.core.resume;
