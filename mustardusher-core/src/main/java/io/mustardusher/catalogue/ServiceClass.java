package io.mustardusher.catalogue;

/** Class of calls; under overload the lowest class is shed first. */
public enum ServiceClass {
    /** Shed last. */
    CRITICAL("critical", 2),

    /** Shed before critical calls. */
    STANDARD("standard", 5),

    /** Shed first. */
    BACKGROUND("background", 7);

    /** Name in documents. */
    private final String token;

    /** Highest urgency value of RFC 9218 that falls into this class. */
    private final int urgency;

    /**
     * Creates a class.
     *
     * @param token   name in documents
     * @param urgency highest urgency value of RFC 9218 that falls into this class
     */
    ServiceClass(String token, int urgency) {
        this.token = token;
        this.urgency = urgency;
    }

    /**
     * Returns the name in documents.
     *
     * @return the token
     */
    public String token() {
        return token;
    }

    /**
     * Returns the highest urgency value of this class.
     *
     * @return urgency of RFC 9218, 0 to 7
     */
    public int urgency() {
        return urgency;
    }

    /**
     * Finds the class of a name.
     *
     * @param token name in documents
     * @return the class
     */
    public static ServiceClass of(String token) {
        for (ServiceClass candidate : values()) {
            if (candidate.token.equals(token)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("unknown class: " + token);
    }

    /**
     * Finds the class of an urgency.
     *
     * @param urgency urgency of RFC 9218, 0 to 7
     * @return the class
     */
    public static ServiceClass ofUrgency(int urgency) {
        if (urgency <= CRITICAL.urgency) {
            return CRITICAL;
        }
        return urgency <= STANDARD.urgency ? STANDARD : BACKGROUND;
    }

    /**
     * Returns the lower of this class and another, so that a caller cannot raise itself above its service.
     *
     * @param other the other class
     * @return the class that is shed earlier
     */
    public ServiceClass orLower(ServiceClass other) {
        return ordinal() >= other.ordinal() ? this : other;
    }
}
