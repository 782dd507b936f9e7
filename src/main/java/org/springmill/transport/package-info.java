/**
 * Event loop, HTTP server and clients, and the link between controllers, behind small interfaces.
 *
 * <p>Knows nothing of what the messages mean.
 */
package org.springmill.transport;
