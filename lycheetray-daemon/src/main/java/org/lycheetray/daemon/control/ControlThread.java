package org.lycheetray.daemon.control;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.lycheetray.daemon.log.LogEvent;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Single thread that runs all tasks on control state, one at a time.
 *
 * <p>The classes that hold control state are not synchronized and must be used on this thread only. Traffic threads
 * submit tasks and never block on them.
 */
public final class ControlThread implements AutoCloseable {
    private final Scheduler scheduler = Schedulers.newSingle("control");

    /**
     * Submits a task and returns without waiting for it.
     *
     * @param step name of the task, logged if it fails
     * @param task the task; must not block
     */
    public void execute(String step, Runnable task) {
        var _ = scheduler.schedule(logFailures(step, task));
    }

    /**
     * Runs a task after a delay.
     *
     * @param step name of the task, logged if it fails
     * @param delay time until the task starts
     * @param task the task; must not block
     * @return handle that cancels the task
     */
    public Disposable schedule(String step, Duration delay, Runnable task) {
        return scheduler.schedule(logFailures(step, task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task periodically, for the first time after one period.
     *
     * @param step name of the task, logged if it fails
     * @param period time between starts
     * @param task the task; must not block
     * @return handle that cancels the task
     */
    public Disposable schedulePeriodically(String step, Duration period, Runnable task) {
        return scheduler.schedulePeriodically(
                logFailures(step, task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Computes a value on the control thread.
     *
     * @param task the computation; must not block
     * @param <T> type of the value
     * @return the value, emitted on the control thread
     */
    public <T> Mono<T> call(Callable<T> task) {
        return Mono.fromCallable(task).subscribeOn(scheduler);
    }

    /**
     * Returns the thread as a Reactor scheduler.
     *
     * @return the scheduler
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    private static Runnable logFailures(String step, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LogEvent.of("control-task-failed")
                        .with("step", step)
                        .with("cause", e)
                        .error();
            }
        };
    }

    @Override
    public void close() {
        scheduler.dispose();
    }
}
