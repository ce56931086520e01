package org.lycheetray.daemon.lifecycle;

import java.util.function.Supplier;
import org.lycheetray.core.model.VmName;
import org.lycheetray.daemon.log.LogEvent;

/** Start and planned stop of a process that runs one thing. */
public final class ProcessUtil {
    private static final int EXIT_FAILED = 1;

    private ProcessUtil() {}

    /**
     * Starts what the process runs; ends the process with a log line and status 1 if that fails.
     *
     * @param vm the VM, for the log
     * @param start starts it
     * @param <T> what it is
     * @return what was started
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
            System.exit(EXIT_FAILED);
            throw e;
        }
    }

    /**
     * Closes what runs when the process is told to stop; the process then ends with status 0, which a signal alone would
     * not give.
     *
     * @param close stops as planned
     */
    public static void closeOnSignal(Runnable close) {
        Thread stop = new Thread(
                () -> {
                    close.run();
                    Runtime.getRuntime().halt(0);
                },
                "stop");
        Runtime.getRuntime().addShutdownHook(stop);
    }
}
