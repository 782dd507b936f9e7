/**
 * The client of the key-value store and the records that controllers keep in it: jobs, placement
 * rounds and image locations, with their stored forms and the rate limits under which they are
 * written. It uses {@code protocol} and {@code transport}; every package that reads or writes the
 * store uses it.
 *
 * <p>Different versions of the program read each other's records: keys and bytes of an existing
 * form never change, and fields are only added.
 */
package org.springmill.control.storage;
