/** Says why a case could not run. */
final class Failure extends Exception {

    private static final long serialVersionUID = 1L;

    Failure(String message) {
        super(message);
    }
}
