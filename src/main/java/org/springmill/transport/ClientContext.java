package org.springmill.transport;

import io.undertow.connector.ByteBufferPool;
import org.xnio.XnioIoThread;

/**
 * Resources that the connections of a client share.
 *
 * @param thread the I/O thread that they run on
 * @param buffers for reading and writing
 * @param loop the event loop on that thread
 */
record ClientContext(XnioIoThread thread, ByteBufferPool buffers, EventLoop loop) {}
