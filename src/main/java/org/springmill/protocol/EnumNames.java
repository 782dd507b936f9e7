package org.springmill.protocol;

import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Looks up constants by their names on the wire. */
final class EnumNames {
    private EnumNames() {}

    /**
     * The constant with that name on the wire.
     *
     * @param field the field that holds the name, for the error message
     * @param wireName the name on the wire of each constant
     * @throws MalformedMessageException if no constant has that name; the message lists all names
     */
    static <E extends Enum<E>> E lookUp(
            String field, String name, E[] constants, Function<E, String> wireName)
            throws MalformedMessageException {
        for (E constant : constants) {
            if (wireName.apply(constant).equals(name)) {
                return constant;
            }
        }
        String names = Arrays.stream(constants).map(wireName).collect(Collectors.joining(", "));
        throw new MalformedMessageException(field + " is not one of " + names);
    }
}
