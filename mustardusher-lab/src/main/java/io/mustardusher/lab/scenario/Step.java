package io.mustardusher.lab.scenario;

import java.util.List;

/**
 * An action that a scenario performs at a given time.
 *
 * @param atMillis  time after the start of the load, in milliseconds
 * @param action    action to perform
 * @param arguments arguments of the action
 */
public record Step(long atMillis, Action action, List<String> arguments) {}
