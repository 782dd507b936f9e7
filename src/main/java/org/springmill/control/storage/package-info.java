/**
 * What controllers keep in the key-value store: jobs, rounds of claims and image locations, with
 * their stored forms and the rate limits under which they are written.
 *
 * <p>Versions of the program read each other's records: keys and bytes of an existing form never
 * change, and fields are only added.
 */
package org.springmill.control.storage;
