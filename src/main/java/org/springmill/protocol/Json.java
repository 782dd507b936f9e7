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

/** Reading and writing of JSON bodies. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final JsonFactory FACTORY = MAPPER.getFactory();

    private Json() {}

    /** Parses a body that has to be one object. */
    public static JsonNode object(byte[] body) throws BadMessageException {
        if (body == null) {
            throw new BadMessageException("body too large");
        }
        JsonNode node;
        try {
            node = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new BadMessageException("not JSON");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (node == null || !node.isObject()) {
            throw new BadMessageException("not an object");
        }
        return node;
    }

    public static byte[] write(Writer content) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartObject();
            content.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Writes the fields of an object. */
    @FunctionalInterface
    public interface Writer {
        void write(JsonGenerator json) throws IOException;
    }
}
