import java.io.IOException;
import java.nio.file.Path;

/** One case: starts the nodes, plays the disruption unless TROUBLE is 0, and judges. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Time after which a case ends as one that could not run, in milliseconds. */
    private static final long MAX_MS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Journal journal;
    Nodes nodes;

    /** Plays the case on running nodes; returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    int nodeCount() {
        return 4;
    }

    /** Returns how many of the nodes have a disk. */
    int diskCount() {
        return nodeCount();
    }

    private static Nodes newNodes(Case played, Path root) throws IOException {
        return new Nodes(root, played.nodeCount(), played.diskCount(), played.journal);
    }

    static void run(Case played, String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]).toAbsolutePath();
        Path root = Path.of("").toAbsolutePath();
        int status = COULD_NOT_RUN;
        endLater();
        try (Journal journal = new Journal(folder)) {
            played.journal = journal;
            journal.write("trouble: %b", played.trouble);
            try (Nodes nodes = newNodes(played, root)) {
                played.nodes = nodes;
                nodes.startAll();
                status = played.isBroken() ? BROKEN : HELD;
            } catch (Exception e) {
                journal.write("the case could not run: %s", e);
            }
            journal.write(
                    status == BROKEN
                            ? "RULE BROKEN"
                            : status == HELD ? "rule held" : "could not run");
        }
        System.exit(status);
    }

    private static void endLater() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(MAX_MS);
                                System.exit(COULD_NOT_RUN);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
