package org.hornbeamhead.ctl;

/** A command's task ended without a result, so that what it has done by then is not known. */
final class TaskFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    TaskFailedException(Throwable cause) {
        super("the command failed: " + cause, cause);
    }
}
