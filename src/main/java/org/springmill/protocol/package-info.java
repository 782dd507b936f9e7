/**
 * Messages on the wire and settings. The only package that spells the names of the protocol's
 * fields, values and paths; all others use its types.
 */
package org.springmill.protocol;
