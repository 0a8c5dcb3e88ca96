package io.mustardusher.route;

import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;

/** Result of looking up the route of a request. */
public interface RouteMatch {

    /**
     * Returns the route.
     *
     * @return the route
     * @throws MustardusherException if there is none, or if it is not known whether there is one
     */
    Route orElseThrow();

    /**
     * The request has a route.
     *
     * @param route the route
     */
    record Found(Route route) implements RouteMatch {

        @Override
        public Route orElseThrow() {
            return route;
        }
    }

    /** The request has no route that this node could read. */
    enum Unmatched implements RouteMatch {
        /** The configuration was read as a whole and has no route for the request. */
        ABSENT(ResultCode.SERVICE_UNKNOWN, "no such route"),

        /** The configuration has, or may have, a route for the request that this node could not read. */
        UNREADABLE(ResultCode.ROUTE_UNREADABLE, "the route could not be read");

        private final ResultCode code;
        private final String detail;

        Unmatched(ResultCode code, String detail) {
            this.code = code;
            this.detail = detail;
        }

        @Override
        public Route orElseThrow() {
            throw new MustardusherException(code, detail);
        }
    }
}
