package io.mustardusher.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Header fields of a message that is being received, up to a number of them. A field takes many times the memory of
 * its bytes if it is short, so that a limit on the bytes of a header block does not bound its memory.
 */
public final class BoundedHeaders extends DefaultHttpHeaders {

    /** Maximum number of fields in a header block. */
    static final int MAX_FIELDS = 256;

    private BoundedHeaders(DefaultHttpHeadersFactory validation) {
        super(validation.getNameValidator(), validation.getValueValidator());
    }

    /**
     * Bounds the header and trailer fields of messages.
     *
     * @param config configuration of a decoder
     * @return the same configuration
     */
    public static HttpDecoderConfig configure(HttpDecoderConfig config) {
        return config.setHeadersFactory(Factory.OF_HEADERS).setTrailersFactory(Factory.OF_TRAILERS);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        checkRoom();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        checkRoom();
        return super.add(name, value);
    }

    private void checkRoom() {
        if (size() >= MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }

    /** Creates the header fields of received messages. */
    private enum Factory implements HttpHeadersFactory {
        OF_HEADERS(DefaultHttpHeadersFactory.headersFactory()),
        OF_TRAILERS(DefaultHttpHeadersFactory.trailersFactory());

        private final DefaultHttpHeadersFactory validation;

        Factory(DefaultHttpHeadersFactory validation) {
            this.validation = validation;
        }

        @Override
        public HttpHeaders newHeaders() {
            return new BoundedHeaders(validation);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }
}
