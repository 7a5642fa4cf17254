/** Decides which requests wait while engines are short, and when refused callers may return. */
package org.hornbeamhead.core.shortage;
