package org.lycheetray.daemon.lifecycle;

import java.util.function.Supplier;
import org.lycheetray.core.model.VmName;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.Logging;

/** Startup and graceful shutdown of a process. */
public final class ProcessUtil {
    private static final int EXIT_FAILED = 1;

    private ProcessUtil() {}

    /**
     * Starts the service of the process. If that fails, logs the error and exits with status 1.
     *
     * @param vm name of the local VM, for the log
     * @param start starts the service
     * @param <T> type of the service
     * @return the running service
     */
    public static <T> T startOrExit(VmName vm, Supplier<T> start) {
        try {
            return start.get();
        } catch (RuntimeException e) {
            LogEvent.of("start-failed")
                    .with("step", "listen")
                    .with("vm", vm)
                    .with("cause", e)
                    .error();
            Logging.shutdown();
            System.exit(EXIT_FAILED);
            throw e;
        }
    }

    /**
     * Registers a shutdown hook that closes the service, writes the remaining log events and then halts the process with
     * status 0. Without the hook, a process ended by a signal would exit with a non-zero status.
     *
     * @param close stops the service gracefully
     */
    public static void registerShutdownHook(Runnable close) {
        Thread stop = new Thread(
                () -> {
                    try {
                        close.run();
                    } finally {
                        Logging.shutdown();
                    }
                    Runtime.getRuntime().halt(0);
                },
                "stop");
        Runtime.getRuntime().addShutdownHook(stop);
    }
}
