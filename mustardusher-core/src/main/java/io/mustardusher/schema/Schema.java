package io.mustardusher.schema;

import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonMetaSchema;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.NonValidationKeyword;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;

/**
 * Reads documents of one type from external sources and validates them against their JSON schema.
 *
 * @param <T> generated type of the document
 */
public final class Schema<T> {

    /** Settings of a node. */
    public static final Schema<NodeSettings> NODE_SETTINGS =
            new Schema<>("node-settings", NodeSettings.class, ResultCode.SETTINGS_INVALID);

    /** Entry of the catalogue. */
    public static final Schema<EntryDocument> ENTRY =
            new Schema<>("entry-document", EntryDocument.class, ResultCode.ENTRY_INVALID);

    /** Announcement of a backend server. */
    public static final Schema<Announcement> ANNOUNCEMENT =
            new Schema<>("announcement", Announcement.class, ResultCode.REQUEST_MALFORMED);

    /** Name of the schema file without its extension. */
    private final String name;

    private final Class<T> type;

    /** Result code for invalid documents. */
    private final ResultCode code;

    /** Compiled schema, or {@code null} before the first document is read. */
    private JsonSchema compiled;

    /**
     * Creates a schema.
     *
     * @param name name of the schema file without its extension
     * @param type generated type
     * @param code result code for invalid documents
     */
    private Schema(String name, Class<T> type, ResultCode code) {
        this.name = name;
        this.type = type;
        this.code = code;
    }

    /**
     * Returns the mapper that accepts JSON with comments.
     *
     * @return the mapper
     */
    public static ObjectMapper mapper() {
        return MapperHolder.MAPPER;
    }

    /**
     * Parses and validates a document.
     *
     * @param text JSON with comments
     * @return the document
     * @throws MustardusherException if the document is invalid, with all validation errors and their locations
     */
    public T read(String text) {
        try {
            return read(JsonTree.read(text));
        } catch (JsonProcessingException e) {
            throw new MustardusherException(code, name + ": " + e.getMessage(), e);
        }
    }

    /**
     * Validates a parsed document.
     *
     * @param tree the parsed document
     * @return the document
     * @throws MustardusherException if the document is invalid, with all validation errors and their locations
     */
    public T read(JsonNode tree) {
        String errors = compiled().validate(tree).stream()
                .map(ValidationMessage::getMessage)
                .sorted()
                .collect(Collectors.joining("; "));
        if (!errors.isEmpty()) {
            throw new MustardusherException(code, name + ": " + errors);
        }
        return MapperHolder.MAPPER.convertValue(tree, type);
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return JSON text
     */
    public static String write(Object value) {
        try {
            return MapperHolder.MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.REQUEST_MALFORMED, e.getMessage(), e);
        }
    }

    private synchronized JsonSchema compiled() {
        if (compiled == null) {
            compiled = FactoryHolder.FACTORY.getSchema(
                    Schema.class.getResourceAsStream("/io/mustardusher/schema/" + name + ".json"));
        }
        return compiled;
    }

    /** Holds the mapper, whose initialization is slow, so that programs that only use trees do not initialize it. */
    private static final class MapperHolder {

        private static final ObjectMapper MAPPER = new JsonMapper(JsonTree.FACTORY);
    }

    /** Holds the factory, whose initialization is slow, so that only programs that read a document initialize it. */
    private static final class FactoryHolder {

        /** Ignores the keywords {@code javaType} and {@code javaName}, which only matter for code generation. */
        private static final JsonSchemaFactory FACTORY = JsonSchemaFactory.builder(
                        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012))
                .metaSchema(JsonMetaSchema.builder(JsonMetaSchema.getV202012())
                        .keyword(new NonValidationKeyword("javaType"))
                        .keyword(new NonValidationKeyword("javaName"))
                        .build())
                .build();
    }
}
