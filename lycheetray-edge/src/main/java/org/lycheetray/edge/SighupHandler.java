package org.lycheetray.edge;

import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, which would terminate the JVM otherwise.
 *
 * <p>The JDK has no public API for signals. {@code sun.misc.Signal} is called by reflection, because the compiler warns
 * about direct use and warnings fail the build.
 */
final class SighupHandler {
    private SighupHandler() {}

    /**
     * Runs an action on each SIGHUP, on the JVM's signal dispatch thread.
     *
     * @param action the action to run
     * @throws IllegalStateException if this JVM has no {@code sun.misc.Signal}
     */
    static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (p, m, a) -> {
                if (m.getName().equals("handle")) {
                    action.run();
                }
                return null;
            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not support a SIGHUP handler", e);
        }
    }
}
