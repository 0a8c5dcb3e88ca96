package io.mustardusher.call;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A value that is created on first access, for values that are costly to create and often not needed.
 *
 * @param <T> type of the value
 */
public final class Lazy<T> implements Supplier<T> {

    private final Supplier<T> factory;
    private T value;

    /**
     * Creates a lazy value.
     *
     * @param factory creates the value; called once
     */
    public Lazy(Supplier<T> factory) {
        this.factory = factory;
    }

    @Override
    public synchronized T get() {
        if (value == null) {
            value = factory.get();
        }
        return value;
    }

    /**
     * Passes the value to an action if it has been created.
     *
     * @param action receives the value
     */
    public synchronized void ifCreated(Consumer<? super T> action) {
        if (value != null) {
            action.accept(value);
        }
    }
}
