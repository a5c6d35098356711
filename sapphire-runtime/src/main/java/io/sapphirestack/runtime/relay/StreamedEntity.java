package io.sapphirestack.runtime.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/** Response entity whose body is written while it is produced. */
final class StreamedEntity extends AbstractHttpEntity {

    private final HttpServerExchange.StreamingBody body;

    StreamedEntity(HttpServerExchange.StreamingBody body) {
        super((String) null, null, true);
        this.body = body;
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
        body.writeTo(out);
    }

    @Override
    public InputStream getContent() {
        throw new UnsupportedOperationException("the body of a streamed response cannot be read");
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
        // There is no resource to release.
    }
}
