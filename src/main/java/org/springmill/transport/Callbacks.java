package org.springmill.transport;

import io.undertow.client.ClientCallback;
import java.io.IOException;
import java.util.function.Consumer;

/** Creates Undertow callbacks from one function for success and one for failure. */
final class Callbacks {
    private Callbacks() {}

    static <T> ClientCallback<T> of(Consumer<T> onCompleted, Consumer<IOException> onFailed) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                onFailed.accept(e);
            }
        };
    }
}
