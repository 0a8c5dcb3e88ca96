package io.mustardusher.catalogue;

/** Priority class of calls. Under overload, the calls of the lowest class are shed first. */
public enum ServiceClass {
    /** Shed last. */
    CRITICAL("critical", 2),

    /** Shed before critical calls. */
    STANDARD("standard", 5),

    /** Shed first. */
    BACKGROUND("background", 7);

    /** Name in catalogue documents. */
    private final String token;

    /** Highest urgency value of RFC 9218, and so the least urgent, that belongs to this class. */
    private final int maxUrgency;

    /**
     * Creates a class.
     *
     * @param token      name in catalogue documents
     * @param maxUrgency highest urgency value of RFC 9218 that belongs to this class
     */
    ServiceClass(String token, int maxUrgency) {
        this.token = token;
        this.maxUrgency = maxUrgency;
    }

    /**
     * Returns the name of this class in catalogue documents.
     *
     * @return the name
     */
    public String token() {
        return token;
    }

    /**
     * Returns the highest urgency value of this class, which is its least urgent one.
     *
     * @return urgency of RFC 9218, 0 to 7
     */
    public int maxUrgency() {
        return maxUrgency;
    }

    /**
     * Returns the class of a name.
     *
     * @param token name in catalogue documents
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
     * Returns the class of an urgency.
     *
     * @param urgency urgency of RFC 9218, 0 to 7
     * @return the class
     */
    public static ServiceClass ofUrgency(int urgency) {
        if (urgency <= CRITICAL.maxUrgency) {
            return CRITICAL;
        }
        return urgency <= STANDARD.maxUrgency ? STANDARD : BACKGROUND;
    }

    /**
     * Returns the lower of this class and another one, so that a caller cannot exceed the class of the service.
     *
     * @param other the other class
     * @return the class that is shed earlier
     */
    public ServiceClass orLower(ServiceClass other) {
        return ordinal() >= other.ordinal() ? this : other;
    }
}
