package io.mustardusher.schema;

import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
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
 * A kind of document that comes from outside and is checked against its schema.
 *
 * @param <T> generated type of the document
 */
public final class Schema<T> {

    /** Settings of a node. */
    public static final Schema<NodeSettings> NODE_SETTINGS =
            new Schema<>("node-settings", NodeSettings.class, ResultCode.SETTINGS_INVALID);

    /** An entry of the catalogue. */
    public static final Schema<EntryDocument> ENTRY =
            new Schema<>("entry-document", EntryDocument.class, ResultCode.ENTRY_INVALID);

    /** An announcement of a backend server. */
    public static final Schema<Announcement> ANNOUNCEMENT =
            new Schema<>("announcement", Announcement.class, ResultCode.REQUEST_MALFORMED);

    /** Reads JSON with comments and refuses repeated keys. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    /** Name of the schema file without its ending. */
    private final String name;

    /** Generated type. */
    private final Class<T> type;

    /** Code of a document that does not fit. */
    private final ResultCode code;

    /** The compiled schema; {@code null} until a document is read. */
    private JsonSchema compiled;

    /**
     * Creates a kind of document.
     *
     * @param name name of the schema file without its ending
     * @param type generated type
     * @param code code of a document that does not fit
     */
    private Schema(String name, Class<T> type, ResultCode code) {
        this.name = name;
        this.type = type;
        this.code = code;
    }

    /**
     * Returns the mapper for JSON with comments.
     *
     * @return the mapper
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Reads a document.
     *
     * @param text JSON with comments
     * @return the document
     * @throws MustardusherException with every fault, its place and what was expected
     */
    public T read(String text) {
        try {
            return read(MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            throw new MustardusherException(code, name + ": " + e.getMessage(), e);
        }
    }

    /**
     * Reads a parsed document.
     *
     * @param tree the parsed document
     * @return the document
     * @throws MustardusherException with every fault, its place and what was expected
     */
    public T read(JsonNode tree) {
        String faults = compiled().validate(tree).stream()
                .map(ValidationMessage::getMessage)
                .sorted()
                .collect(Collectors.joining("; "));
        if (!faults.isEmpty()) {
            throw new MustardusherException(code, name + ": " + faults);
        }
        return MAPPER.convertValue(tree, type);
    }

    /**
     * Writes a value as JSON.
     *
     * @param value the value
     * @return JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.REQUEST_MALFORMED, e.getMessage(), e);
        }
    }

    private synchronized JsonSchema compiled() {
        if (compiled == null) {
            compiled = Compiler.FACTORY.getSchema(
                    Schema.class.getResourceAsStream("/io/mustardusher/schema/" + name + ".json"));
        }
        return compiled;
    }

    /** Compiles schemas; loaded only by programs that read a document, as it is slow to start. */
    private static final class Compiler {

        /** The words for the generator of types mean nothing to validation. */
        private static final JsonSchemaFactory FACTORY = JsonSchemaFactory.builder(
                        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012))
                .metaSchema(JsonMetaSchema.builder(JsonMetaSchema.getV202012())
                        .keyword(new NonValidationKeyword("javaType"))
                        .keyword(new NonValidationKeyword("javaName"))
                        .build())
                .build();
    }
}
