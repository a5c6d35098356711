package io.sapphirestack.runtime.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/** Body of an answer that is written while it arises. */
final class StreamedEntity extends AbstractHttpEntity {

    private final Exchange.StreamedBody body;

    StreamedEntity(Exchange.StreamedBody body) {
        super((String) null, null, true);
        this.body = body;
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
        body.writeTo(out);
    }

    @Override
    public InputStream getContent() {
        throw new UnsupportedOperationException("the body can only be written");
    }

    @Override
    public boolean isStreaming() {
        return true;
    }

    @Override
    public long getContentLength() {
        return -1;
    }

    @Override
    public void close() {
        // Holds nothing that has to be released.
    }
}
