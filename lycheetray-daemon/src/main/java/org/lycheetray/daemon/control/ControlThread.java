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
 * Runs everything that touches control state, one task after the other.
 *
 * <p>Decision classes are not synchronized; they are used from here only. Traffic threads hand tasks in and never wait.
 */
public final class ControlThread implements AutoCloseable {
    private final Scheduler scheduler = Schedulers.newSingle("control");

    /**
     * Runs a task soon.
     *
     * @param step name of the task for the log if it fails
     * @param task the task, must not block
     */
    public void execute(String step, Runnable task) {
        var _ = scheduler.schedule(guarded(step, task));
    }

    /**
     * Runs a task after a delay.
     *
     * @param step name of the task for the log if it fails
     * @param delay time to wait
     * @param task the task, must not block
     * @return cancels the task
     */
    public Disposable after(String step, Duration delay, Runnable task) {
        return scheduler.schedule(guarded(step, task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task again and again.
     *
     * @param step name of the task for the log if it fails
     * @param period time between starts
     * @param task the task, must not block
     * @return cancels the task
     */
    public Disposable every(String step, Duration period, Runnable task) {
        return scheduler.schedulePeriodically(
                guarded(step, task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Computes a value on the control thread.
     *
     * @param task the computation, must not block
     * @param <T> type of the value
     * @return the value, delivered on the control thread
     */
    public <T> Mono<T> call(Callable<T> task) {
        return Mono.fromCallable(task).subscribeOn(scheduler);
    }

    /**
     * Gives the thread as a Reactor scheduler.
     *
     * @return the scheduler
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    private static Runnable guarded(String step, Runnable task) {
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
