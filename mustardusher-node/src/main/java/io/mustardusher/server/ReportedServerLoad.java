package io.mustardusher.server;

/**
 * Load of a backend server as the server reports it.
 *
 * @param running         number of requests that are running
 * @param queued          number of requests that are queued in the server
 * @param slots           number of requests that the server can run at the same time
 * @param slownessPercent time that work currently takes, as a percentage of the usual time
 */
public record ReportedServerLoad(int running, int queued, int slots, int slownessPercent) {}
