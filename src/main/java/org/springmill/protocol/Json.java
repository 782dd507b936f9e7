package org.springmill.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON bodies. Readers ignore fields that they do not know. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** Large enough for most messages. */
    private static final int INITIAL_BUFFER_BYTES = 256;

    private static final JsonFactory FACTORY = MAPPER.getFactory();

    private Json() {}

    /**
     * Parses a body, which must be a single JSON object.
     *
     * @param body the body; null if it was too large to be read
     * @throws MalformedMessageException if it is too large, not JSON or not an object
     */
    public static JsonNode object(byte[] body) throws MalformedMessageException {
        if (body == null) {
            throw new MalformedMessageException("body too large");
        }
        JsonNode node;
        try {
            node = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new MalformedMessageException("not JSON");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("not an object");
        }
        return node;
    }

    /** Encodes one object, to which the writer adds the fields in order. */
    public static byte[] write(Writer content) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartObject();
            content.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Encodes a JSON value. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An object without fields. */
    public static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Writes the fields of an object. */
    @FunctionalInterface
    public interface Writer {
        /** Adds the fields to an object whose start has been written. */
        void write(JsonGenerator json) throws IOException;
    }
}
