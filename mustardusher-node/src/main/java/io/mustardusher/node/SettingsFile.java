package io.mustardusher.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.LogSettings;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;

/** Reads settings: a file, then the environment, then flags; later ones go before earlier ones. */
public final class SettingsFile {

    /** What the names of environment variables start with. */
    static final String ENVIRONMENT_PREFIX = "MUSHERD_";

    /** Names of settings that hold other settings. */
    private static final Map<String, String> GROUPS = Map.of(
            "PORTS_", "ports",
            "PLATFORM_", "platform",
            "LOG_", "log",
            "REGION_DISTANCES_MICROS_", "regionDistancesMicros");

    private SettingsFile() {}

    /**
     * Reads settings.
     *
     * @param file        file of JSON with comments
     * @param environment the environment
     * @param flags       values by path, such as {@code ports.caller}
     * @return the settings
     * @throws MustardusherException with every fault, its place and what was expected
     */
    public static NodeSettings read(Path file, Map<String, String> environment, Map<String, String> flags) {
        ObjectNode tree = parse(file);
        environment.forEach((name, value) -> {
            if (name.startsWith(ENVIRONMENT_PREFIX)) {
                set(tree, pathOf(name.substring(ENVIRONMENT_PREFIX.length())), value);
            }
        });
        flags.forEach((path, value) -> set(tree, path, value));
        NodeSettings settings = Schema.NODE_SETTINGS.read(tree);
        if (settings.getLog() == null) {
            settings.setLog(new LogSettings());
        }
        if (settings.getRegionDistancesMicros() == null) {
            settings.setRegionDistancesMicros(new DistanceSettings());
        }
        return settings;
    }

    /**
     * Parses a file.
     *
     * @param file the file
     * @return its content
     */
    private static ObjectNode parse(Path file) {
        try {
            JsonNode tree = Schema.mapper().readTree(Files.readString(file));
            if (tree instanceof ObjectNode object) {
                return object;
            }
            throw new MustardusherException(ResultCode.SETTINGS_INVALID, file + ": not a JSON object");
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.SETTINGS_INVALID, file + ": " + e.getMessage(), e);
        } catch (IOException e) {
            throw new MustardusherException(ResultCode.SETTINGS_INVALID, "cannot read " + file, e);
        }
    }

    /**
     * Sets a value.
     *
     * @param tree  the settings
     * @param path  path of the value, with a dot between names
     * @param value the value as text; JSON if it parses as such
     */
    private static void set(ObjectNode tree, String path, String value) {
        int dot = path.indexOf('.');
        if (dot > 0) {
            set(tree.withObjectProperty(path.substring(0, dot)), path.substring(dot + 1), value);
            return;
        }
        tree.set(path, parseValue(value));
    }

    /**
     * Parses a value.
     *
     * @param value the value as text
     * @return a number, a truth value or a list where the text is one, otherwise a string
     */
    private static JsonNode parseValue(String value) {
        try {
            JsonNode parsed = Schema.mapper().readTree(value);
            if (parsed.isNumber() || parsed.isBoolean() || parsed.isArray()) {
                return parsed;
            }
        } catch (JsonProcessingException e) {
            // plain text
        }
        return Schema.mapper().getNodeFactory().textNode(value);
    }

    /**
     * Turns the name of an environment variable into a path.
     *
     * @param name the name without its prefix, such as {@code PORTS_CALLER}
     * @return the path, such as {@code ports.caller}
     */
    private static String pathOf(String name) {
        for (Map.Entry<String, String> group : GROUPS.entrySet()) {
            if (name.startsWith(group.getKey())) {
                return group.getValue() + "."
                        + camelCase(name.substring(group.getKey().length()));
            }
        }
        return camelCase(name);
    }

    /**
     * Turns words with underscores into one word.
     *
     * @param name the words, such as {@code FAILURE_DOMAIN}
     * @return the word, such as {@code failureDomain}
     */
    private static String camelCase(String name) {
        StringBuilder word = new StringBuilder();
        for (String part : name.toLowerCase(Locale.ROOT).split("_")) {
            if (part.isEmpty()) {
                continue;
            }
            boolean first = word.length() == 0;
            word.append(first ? part.charAt(0) : Character.toUpperCase(part.charAt(0)));
            word.append(part, 1, part.length());
        }
        return word.toString();
    }
}
