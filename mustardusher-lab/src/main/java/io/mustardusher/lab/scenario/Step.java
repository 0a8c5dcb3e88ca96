package io.mustardusher.lab.scenario;

import java.util.List;

/**
 * Something that happens in a scenario.
 *
 * @param atMillis time from the start of the load, in milliseconds
 * @param action   what happens
 * @param words    words behind the action's name
 */
public record Step(long atMillis, Action action, List<String> words) {}
