package io.mustardusher.model;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Calls of one kind, which callers make at a constant average rate.
 *
 * @param name           name of the kind
 * @param service        service that the calls address
 * @param serviceClass   class of the calls
 * @param perSecond      average number of calls of all callers, per second
 * @param workMillis     median time that an undisturbed server takes for a call, in milliseconds
 * @param targetMillis   time from the first attempt within which an answer has its full worth, in milliseconds
 * @param deadlineMillis time from the first attempt after which a caller gives up, in milliseconds
 * @param idempotent     whether a call may run more than once
 * @param worth          worth of an answer within the target; a later one has a tenth of it
 * @param callerRetries  number of times that a caller repeats a rejected call
 */
public record CallKind(
        String name,
        String service,
        ServiceClass serviceClass,
        double perSecond,
        double workMillis,
        double targetMillis,
        double deadlineMillis,
        boolean idempotent,
        double worth,
        int callerRetries) {}
