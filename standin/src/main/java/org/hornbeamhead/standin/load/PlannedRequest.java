package org.hornbeamhead.standin.load;

/**
 * One request of a load.
 *
 * @param customer who sends it
 * @param workClass its kind; not looked at for service calls
 * @param dossier the number of the dossier
 * @param number counts the requests, and tells their questions apart
 * @param service whether it is a call to the plain service
 */
public record PlannedRequest(String customer, WorkClass workClass, int dossier, int number, boolean service) {}
