package io.mustardusher.server;

/**
 * What a backend server says of its own load.
 *
 * @param running         requests that it runs
 * @param waiting         requests that wait in it
 * @param slots           requests that it can run at the same time
 * @param slownessPercent time that work takes at present, as a percentage of the usual time
 */
public record ServerReading(int running, int waiting, int slots, int slownessPercent) {}
