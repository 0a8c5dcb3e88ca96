package io.mustardusher.catalogue;

/**
 * Name of a service.
 *
 * @param value the name
 */
public record ServiceName(String value) {

    /**
     * Creates a name.
     *
     * @param value the name
     * @return the value
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
