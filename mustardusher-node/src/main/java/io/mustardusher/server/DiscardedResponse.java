package io.mustardusher.server;

import java.util.Optional;

/**
 * A response of the backend server that is discarded, because it does not belong to the request that awaits one.
 *
 * @param request    identifier of the request to which the response belongs; empty if it names none
 * @param status     status of the response
 * @param connection number of the connection, as in the report of a run
 * @param awaited    identifier of the request that awaits a response; empty if it has none or no request does
 */
public record DiscardedResponse(Optional<String> request, int status, int connection, Optional<String> awaited) {}
