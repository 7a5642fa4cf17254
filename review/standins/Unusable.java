/** The case could not run. */
final class Unusable extends RuntimeException {
    Unusable(String message) {
        super(message);
    }
}
