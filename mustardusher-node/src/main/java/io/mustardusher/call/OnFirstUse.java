package io.mustardusher.call;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A value that is made when it is first asked for, where it is dear to make and often not needed.
 *
 * @param <T> type of the value
 */
public final class OnFirstUse<T> implements Supplier<T> {

    private final Supplier<T> maker;
    private T value;

    /**
     * Creates a value that is not made yet.
     *
     * @param maker makes it; called once
     */
    public OnFirstUse(Supplier<T> maker) {
        this.maker = maker;
    }

    @Override
    public synchronized T get() {
        if (value == null) {
            value = maker.get();
        }
        return value;
    }

    /**
     * Hands the value on if it was made.
     *
     * @param user takes the value
     */
    public synchronized void ifMade(Consumer<? super T> user) {
        if (value != null) {
            user.accept(value);
        }
    }
}
