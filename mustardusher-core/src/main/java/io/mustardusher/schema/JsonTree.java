package io.mustardusher.schema;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON trees without an object mapper, whose initialization takes a seventh of the processor time of a
 * node's start.
 */
public final class JsonTree {

    /** Maximum nesting of values. Trees are read and written by recursion, on stacks that may be small. */
    static final int MAX_NESTING = 64;

    /** Maximum number of tokens of a text. A tree of empty objects takes some fifty times the memory of its text. */
    static final int MAX_TOKENS = 500_000;

    /** Accepts comments and trailing commas, and rejects duplicate keys and deeply nested values. */
    static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING)
                    .maxTokenCount(MAX_TOKENS)
                    .build())
            .build();

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /**
     * Returns an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses the first value of a text.
     *
     * @param text JSON with comments
     * @return the value, or a missing node if the text contains none
     * @throws JsonProcessingException if the text is malformed, nested too deeply or has too many values
     */
    public static JsonNode read(String text) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return parser.nextToken() == null ? NODES.missingNode() : value(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a tree.
     *
     * @param tree the tree
     * @return JSON text
     */
    public static String write(JsonNode tree) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(tree, generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> objectValue(parser);
            case START_ARRAY -> arrayValue(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode objectValue(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    private static JsonNode arrayValue(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static void write(JsonNode value, JsonGenerator generator) throws IOException {
        switch (value.getNodeType()) {
            case OBJECT -> writeObject(value, generator);
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : value) {
                    write(element, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(value.textValue());
            case BOOLEAN -> generator.writeBoolean(value.booleanValue());
            case NUMBER -> {
                if (value.isDouble()) {
                    // Writes an infinite number as a text, because JSON has none.
                    generator.writeNumber(value.doubleValue());
                } else {
                    generator.writeNumber(value.asText());
                }
            }
            default -> generator.writeNull();
        }
    }

    private static void writeObject(JsonNode object, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        for (Iterator<Map.Entry<String, JsonNode>> fields = object.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            generator.writeFieldName(field.getKey());
            write(field.getValue(), generator);
        }
        generator.writeEndObject();
    }
}
