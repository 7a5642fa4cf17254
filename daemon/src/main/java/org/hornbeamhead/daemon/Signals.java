package org.hornbeamhead.daemon;

import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system other than the one to end.
 *
 * <p>Failure: a signal that says that settings changed ends the process, as it does by default. The JDK's own class for
 * it is outside the standard library, so it is reached by its name.
 */
public final class Signals {
    private Signals() {}

    /**
     * Registers what is done at a signal.
     *
     * @param name the signal's name without its first three letters, such as {@code HUP}
     * @param action the action, run on a thread of its own
     */
    public static void on(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (p, m, args) -> {
                if (m.getName().equals("handle")) {
                    action.run();
                }
                return null;
            });
            Object named = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, named, proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("signal " + name + " cannot be handled", e);
        }
    }
}
