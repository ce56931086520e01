package org.lycheetray.edge;

import java.lang.reflect.Proxy;

/**
 * Handler for SIGHUP, which would terminate the JVM otherwise.
 *
 * <p>It is installed before its action is known, so that a signal while the process starts is neither fatal nor lost.
 * Thread-safe.
 *
 * <p>The JDK has no public API for signals. {@code sun.misc.Signal} is called by reflection, because the compiler warns
 * about direct use and warnings fail the build.
 */
final class SighupHandler {
    private Runnable action;
    private boolean signalled;

    private SighupHandler() {}

    /**
     * Installs a handler without an action.
     *
     * @return the handler
     * @throws IllegalStateException if this JVM has no {@code sun.misc.Signal}
     */
    static SighupHandler install() {
        SighupHandler handler = new SighupHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (p, m, a) -> {
                if (m.getName().equals("handle")) {
                    handler.handle();
                }
                return null;
            });
            signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not support a SIGHUP handler", e);
        }
        return handler;
    }

    /**
     * Sets the action that each signal runs, on the JVM's signal dispatch thread. Runs it at once, on the calling thread,
     * if there was a signal before.
     *
     * @param next the action
     */
    synchronized void setAction(Runnable next) {
        action = next;
        if (signalled) {
            signalled = false;
            next.run();
        }
    }

    /** Handles one signal. */
    synchronized void handle() {
        if (action == null) {
            signalled = true;
        } else {
            action.run();
        }
    }
}
