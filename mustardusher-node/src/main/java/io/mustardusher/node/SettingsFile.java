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

/**
 * Reads the settings from a file, the environment and flags. The environment overrides the file, and flags override
 * both.
 */
public final class SettingsFile {

    /** Prefix of the environment variables. */
    static final String ENVIRONMENT_PREFIX = "MUSHERD_";

    /** Names of nested groups of settings by the prefix of their environment variables. */
    private static final Map<String, String> GROUPS = Map.of(
            "PORTS_", "ports",
            "PLATFORM_", "platform",
            "LOG_", "log",
            "REGION_DISTANCES_MICROS_", "regionDistancesMicros");

    private SettingsFile() {}

    /**
     * Reads the settings.
     *
     * @param file        JSON file, which may contain comments
     * @param environment the environment variables
     * @param flags       values by path, such as {@code ports.caller}
     * @return the settings
     * @throws MustardusherException if the settings are invalid; names each fault with its path and the expected value
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
     * @param path  path of the value, with dots between names
     * @param value the value as text; parsed as JSON if possible
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
     * @return a number, boolean or array if the text is one, otherwise a string
     */
    private static JsonNode parseValue(String value) {
        try {
            JsonNode parsed = Schema.mapper().readTree(value);
            if (parsed.isNumber() || parsed.isBoolean() || parsed.isArray()) {
                return parsed;
            }
        } catch (JsonProcessingException e) {
            // Not JSON: used as a string.
        }
        return Schema.mapper().getNodeFactory().textNode(value);
    }

    /**
     * Converts the name of an environment variable into a path.
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
     * Converts a name from upper case with underscores to camel case.
     *
     * @param name the name, such as {@code FAILURE_DOMAIN}
     * @return the camel case name, such as {@code failureDomain}
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
