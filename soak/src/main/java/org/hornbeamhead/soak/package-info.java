/** Runs routers as separate processes under random faults and checks what callers and replicas see. */
package org.hornbeamhead.soak;
