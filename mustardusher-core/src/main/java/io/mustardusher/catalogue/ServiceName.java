package io.mustardusher.catalogue;

/**
 * Name of a service.
 *
 * @param value the name as a string
 */
public record ServiceName(String value) {

    /**
     * Creates a name.
     *
     * @param value the name as a string
     * @return the name
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
