package io.sapphirestack.standins.demo;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Process that the demonstration has started. It is signalled only by its handle, never by name.
 * Thread-safe.
 */
final class ManagedProcess {

    private final String name;
    private final Process process;

    private ManagedProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    static ManagedProcess start(String name, Path logFolder, List<String> command)
            throws FleetException {
        File log = logFolder.resolve(name + ".log").toFile();
        try {
            return new ManagedProcess(
                    name,
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                            .start());
        } catch (IOException e) {
            throw new FleetException("start-process", name, "cannot start " + command.get(0), e);
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL without waiting for the exit. */
    void kill() {
        process.destroyForcibly();
    }

    /** Sends SIGTERM without waiting for the exit. */
    void terminate() {
        process.destroy();
    }

    /**
     * Returns whether the process has exited within a time; false also if the thread is
     * interrupted.
     */
    boolean waitForExit(long timeoutMs) {
        try {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns the exit status.
     *
     * @throws IllegalThreadStateException if the process is still running
     */
    int exitStatus() {
        return process.exitValue();
    }
}
