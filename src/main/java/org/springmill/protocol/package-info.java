/**
 * Messages on the wire and settings. Defines the names of all fields, values and paths on the wire
 * and of all settings, and maps them to the types that the rest of the program uses.
 *
 * <p>Uses no other package; all others use it. {@link org.springmill.protocol.WireFields} lists the
 * names of the JSON fields.
 */
package org.springmill.protocol;
