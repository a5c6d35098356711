import java.nio.file.Path;

/** Runs a case and ends the process with the status that tells its result. */
abstract class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;

    protected Record record;
    protected Path root;

    /** Whether the disruption takes place. */
    protected final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** The case could not be prepared, so it says nothing about the rule. */
    static final class NotRunException extends Exception {

        private static final long serialVersionUID = 1L;

        NotRunException(String message) {
            super(message);
        }
    }

    /**
     * Runs a case.
     *
     * @param arguments root of the repository and folder of the case
     */
    static void run(Case played, String[] arguments) {
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            played.record = record;
            played.root = Path.of(arguments[0]);
            record.line("case: the disruption takes place: %s", played.hasTrouble);
            try {
                status = played.play() ? HELD : BROKEN;
            } catch (Exception | Error e) {
                record.line("case: could not run: %s", e);
            }
            record.line("case: exit status %d", status);
        } catch (Exception | Error e) {
            System.err.println("the record cannot be written: " + e);
        }
        System.exit(status);
    }
}
