package io.sapphirestack.standins.demo;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Processes that the demonstration starts; all of them are killed when it ends or is interrupted.
 * Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {

    private final Path folder;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates an empty group.
     *
     * @param folder folder for the logs of the processes
     */
    ProcessGroup(Path folder) {
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts a process under a name; its output goes to a file of that name. */
    synchronized void start(String name, List<String> command) throws IOException {
        if (closed) {
            throw new IOException("the demonstration is ending");
        }
        File log = Files.createDirectories(folder).resolve(name + ".log").toFile();
        Process process =
                new ProcessBuilder(new ArrayList<>(command))
                        .redirectErrorStream(true)
                        .redirectOutput(log)
                        .start();
        processes.put(name, process);
    }

    /** Kills a process with SIGKILL. */
    void kill(String name) {
        processes.get(name).toHandle().destroyForcibly();
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    @Override
    public synchronized void close() {
        closed = true;
        processes.values().forEach(process -> process.toHandle().destroyForcibly());
    }
}
