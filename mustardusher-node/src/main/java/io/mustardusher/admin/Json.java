package io.mustardusher.admin;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import io.mustardusher.schema.Schema;

/** Creates responses with JSON content. */
final class Json {

    private Json() {}

    /**
     * Creates a response with status 200.
     *
     * @param value value to serialize
     * @return the response
     */
    static HttpResponse of(Object value) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, Schema.write(value));
    }
}
