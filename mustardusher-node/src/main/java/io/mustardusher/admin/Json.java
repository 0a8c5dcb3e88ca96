package io.mustardusher.admin;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import io.mustardusher.schema.Schema;

/** Answers in JSON. */
final class Json {

    private Json() {}

    /**
     * Writes an answer.
     *
     * @param value the value
     * @return the answer
     */
    static HttpResponse of(Object value) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, Schema.write(value));
    }
}
